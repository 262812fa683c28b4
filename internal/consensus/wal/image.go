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
func (past *Past) Last() (uint64, uint64) {
	if count := len(past.Entries); count > 0 {
		return past.Entries[count-1].Index, past.Entries[count-1].Round
	}
	return past.Base.Index, past.Base.Round
}

func (past *Past) take(record Record) {
	switch record.Kind {
	case Promise:
		past.Promised, past.Whole = record.Round, true
	case Commit:
		past.Commit = max(past.Commit, record.Index)
	case Append:
		for len(past.Entries) > 0 && past.Entries[len(past.Entries)-1].Index >= record.Index {
			past.Entries = past.Entries[:len(past.Entries)-1]
		}
		past.Entries = append(past.Entries[:len(past.Entries):len(past.Entries)], record.Entry)
	case Rebase:
		past.Base = record.Entry
		kept := 0
		for kept < len(past.Entries) && past.Entries[kept].Index <= record.Index {
			kept++
		}
		past.Entries = append([]Entry(nil), past.Entries[kept:]...)
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
func (image *Image) Past(part int) *Past {
	past, known := image.Parts[part]
	if !known {
		past = &Past{}
		image.Parts[part] = past
	}
	return past
}

// Take adds a record to the image.
func (image *Image) Take(record Record) {
	if record.Kind == Identity {
		image.Name = record.Data
		return
	}
	image.Past(record.Part).take(record)
}

// Records are the fewest records that give this image again, in a fixed order.
func (image *Image) Records() []Record {
	records := []Record{{Kind: Identity, Entry: Entry{Data: image.Name}}}
	for _, part := range slices.Sorted(maps.Keys(image.Parts)) {
		past := image.Parts[part]
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
