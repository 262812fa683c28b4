package election

// MessageWire is a Message as it is sent by encoding/gob: its field names are part of the protocol.
type MessageWire struct {
	Kind  MessageKind
	Round uint64
}

// ToWire returns the message's wire form.
func (m *Message) ToWire() MessageWire {
	return MessageWire{Kind: m.Kind, Round: m.Term}
}

// ToDomain returns the message of which this is the wire form.
func (w *MessageWire) ToDomain() Message {
	return Message{Kind: w.Kind, Term: w.Round}
}
