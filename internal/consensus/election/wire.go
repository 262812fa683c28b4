package election

// MessageWire is the form in which encoding/gob sends a Message. Its field names are part of the
// protocol.
type MessageWire struct {
	Kind  MessageKind
	Round uint64
}

// ToWire returns the message's wire form.
func (m *Message) ToWire() MessageWire {
	return MessageWire{Kind: m.Kind, Round: m.Term}
}

// ToDomain returns the message that this wire form represents.
func (w *MessageWire) ToDomain() Message {
	return Message{Kind: w.Kind, Term: w.Round}
}
