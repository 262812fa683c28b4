package wal

// EntryWire is the form in which encoding/gob sends an Entry. Its field names are part of the
// protocol.
type EntryWire struct {
	Index uint64
	Round uint64
	Data  []byte
}

// ToWire returns the entry's wire form. Both share the data.
func (e *Entry) ToWire() EntryWire {
	return EntryWire{Index: e.Index, Round: e.Term, Data: e.Data}
}

// ToDomain returns the entry that this wire form represents. Both share the data.
func (w *EntryWire) ToDomain() Entry {
	return Entry{Index: w.Index, Term: w.Round, Data: w.Data}
}
