package node

// Wire is a Node as it is sent by encoding/gob: its field names are part of the protocol.
type Wire struct {
	Name        string
	Role        Role
	Hall        string
	Inner       string
	Public      string
	Incarnation uint64
}

// ToWire returns the node's wire form.
func (n *Node) ToWire() Wire {
	return Wire{
		Name:        n.Name,
		Role:        n.Role,
		Hall:        n.Hall,
		Inner:       n.Inner,
		Public:      n.Public,
		Incarnation: n.Incarnation,
	}
}

// ToDomain returns the node of which this is the wire form.
func (w *Wire) ToDomain() Node {
	return Node{
		Name:        w.Name,
		Role:        w.Role,
		Hall:        w.Hall,
		Inner:       w.Inner,
		Public:      w.Public,
		Incarnation: w.Incarnation,
	}
}
