package node

// Wire is the encoding/gob form of a Node. Its field names are part of the protocol and must not
// change.
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
		Hall:        n.Zone,
		Inner:       n.InternalAddress,
		Public:      n.PublicAddress,
		Incarnation: n.Incarnation,
	}
}

// ToDomain converts the wire form to a Node.
func (w *Wire) ToDomain() Node {
	return Node{
		Name:            w.Name,
		Role:            w.Role,
		Zone:            w.Hall,
		InternalAddress: w.Inner,
		PublicAddress:   w.Public,
		Incarnation:     w.Incarnation,
	}
}
