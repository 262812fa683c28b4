package node

// WireNode is a Node as it is sent by encoding/gob: its field names are part of the protocol.
type WireNode struct {
	Name        string
	Role        Role
	Hall        string
	Inner       string
	Public      string
	Incarnation uint64
}

// ToWire returns the node's wire form.
func (n *Node) ToWire() WireNode {
	return WireNode{
		Name:        n.Name,
		Role:        n.Role,
		Hall:        n.Hall,
		Inner:       n.Inner,
		Public:      n.Public,
		Incarnation: n.Incarnation,
	}
}

// ToNode returns the node of which this is the wire form.
func (w *WireNode) ToNode() Node {
	return Node{
		Name:        w.Name,
		Role:        w.Role,
		Hall:        w.Hall,
		Inner:       w.Inner,
		Public:      w.Public,
		Incarnation: w.Incarnation,
	}
}
