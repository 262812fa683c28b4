package journal

import (
	"maps"
	"slices"
)

// Past is what a part had on disk.
type Past struct {
	Promised uint64
	// Whole says that a promise was ever recorded: without one the part is empty,
	// even if the file has other records.
	Whole   bool
	Base    Entry
	Entries []Entry
	// Commit is an index up to which the entries are committed, as far as it was noted.
	Commit uint64
}

// Last is the last entry's index and round.
func (s *Past) Last() (uint64, uint64) {
	if count := len(s.Entries); count > 0 {
		return s.Entries[count-1].Index, s.Entries[count-1].Round
	}
	return s.Base.Index, s.Base.Round
}

func (s *Past) take(record Record) {
	switch record.Kind {
	case Promise:
		s.Promised, s.Whole = record.Round, true
	case Commit:
		s.Commit = max(s.Commit, record.Index)
	case Append:
		for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].Index >= record.Index {
			s.Entries = s.Entries[:len(s.Entries)-1]
		}
		s.Entries = append(s.Entries[:len(s.Entries):len(s.Entries)], record.Entry)
	case Rebase:
		s.Base = record.Entry
		kept := 0
		for kept < len(s.Entries) && s.Entries[kept].Index <= record.Index {
			kept++
		}
		s.Entries = append([]Entry(nil), s.Entries[kept:]...)
	}
}

// Image is the sum of all records: what a rewritten file holds.
type Image struct {
	Name  []byte
	Parts map[int]*Past
}

// NewImage is the image of an empty file.
func NewImage() *Image { return &Image{Parts: map[int]*Past{}} }

// Past is the part's share, empty if there is none.
func (s *Image) Past(part int) *Past {
	past, known := s.Parts[part]
	if !known {
		past = &Past{}
		s.Parts[part] = past
	}
	return past
}

// Take adds a record to the image.
func (s *Image) Take(record Record) {
	if record.Kind == Identity {
		s.Name = record.Data
		return
	}
	s.Past(record.Part).take(record)
}

// Records are the fewest records that give this image again, in a fixed order.
func (s *Image) Records() []Record {
	records := []Record{{Kind: Identity, Entry: Entry{Data: s.Name}}}
	for _, part := range slices.Sorted(maps.Keys(s.Parts)) {
		past := s.Parts[part]
		if past.Base.Index > 0 {
			records = append(records, Record{Rebase, part, past.Base})
		}
		for _, entry := range past.Entries {
			records = append(records, Record{Append, part, entry})
		}
		if past.Commit > past.Base.Index {
			records = append(records, Record{Commit, part, Entry{Index: past.Commit}})
		}
		if past.Whole {
			records = append(records, Record{Promise, part, Entry{Round: past.Promised}})
		}
	}
	return records
}
