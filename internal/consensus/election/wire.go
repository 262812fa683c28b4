package election

// WireMessage is a Message as it is sent by encoding/gob: its field names are part of the protocol.
type WireMessage struct {
	Kind  MessageKind
	Round uint64
}

// ToWire returns the message's wire form.
func (m *Message) ToWire() WireMessage {
	return WireMessage{Kind: m.Kind, Round: m.Round}
}

// ToMessage returns the message of which this is the wire form.
func (w *WireMessage) ToMessage() Message {
	return Message{Kind: w.Kind, Round: w.Round}
}
