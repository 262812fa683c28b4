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
		Hall:        n.Zone,
		Inner:       n.InternalAddress,
		Public:      n.PublicAddress,
		Incarnation: n.Incarnation,
	}
}

// ToDomain returns the node of which this is the wire form.
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
