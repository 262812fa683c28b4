package wal

// EntryWire is an Entry as it is sent by encoding/gob: its field names are part of the protocol.
type EntryWire struct {
	Index uint64
	Round uint64
	Data  []byte
}

// ToWire returns the entry's wire form, which shares its data.
func (e *Entry) ToWire() EntryWire {
	return EntryWire{Index: e.Index, Round: e.Term, Data: e.Data}
}

// ToDomain returns the entry of which this is the wire form. Both share the data.
func (w *EntryWire) ToDomain() Entry {
	return Entry{Index: w.Index, Term: w.Round, Data: w.Data}
}
