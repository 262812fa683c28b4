package part

import (
	"slices"

	"coursepass/internal/consensus/wal"
)

// The entries before the snapshot that are kept in memory, by bytes and by count.
const (
	trailSize = 256 << 10
	trailMost = 256
)

type ledger struct {
	journal.Past
	// trail are the last entries up to the snapshot: a replica that is a little behind
	// needs them and not the snapshot.
	trail []journal.Entry
	// trailRound is the round of the entry before the trail.
	trailRound uint64
	commit     uint64
	applied    uint64
}

func (r *ledger) at(index uint64) (journal.Entry, bool) {
	if index <= r.Base.Index {
		if before := r.Base.Index - index; before < uint64(len(r.trail)) {
			return r.trail[uint64(len(r.trail))-1-before], true
		}
		return journal.Entry{}, false
	}
	if index-r.Base.Index > uint64(len(r.Entries)) {
		return journal.Entry{}, false
	}
	return r.Entries[index-r.Base.Index-1], true
}

func (r *ledger) after(index uint64) []journal.Entry {
	if index < r.Base.Index {
		index = r.Base.Index
	}
	if index-r.Base.Index >= uint64(len(r.Entries)) {
		return nil
	}
	return r.Entries[index-r.Base.Index:]
}

// span is what follows an index that the log, or the trail before it, still reaches, with
// the round of the entry at the index.
func (r *ledger) span(index uint64) (entries []journal.Entry, round uint64, held bool) {
	if index == r.Base.Index {
		return r.Entries, r.Base.Round, true
	}
	if index > r.Base.Index {
		entry, known := r.at(index)
		return r.after(index), entry.Round, known
	}
	back := r.Base.Index - index
	if back > uint64(len(r.trail)) {
		return nil, 0, false
	}
	round = r.trailRound
	if entry, known := r.at(index); known {
		round = entry.Round
	}
	from := uint64(len(r.trail)) - back
	return append(r.trail[from:len(r.trail):len(r.trail)], r.Entries...), round, true
}

// matches tells whether the log holds this entry, or has it under its base.
func (r *ledger) matches(index, round uint64) bool {
	if index <= r.Base.Index {
		return index < r.Base.Index || round == r.Base.Round
	}
	entry, held := r.at(index)
	return held && entry.Round == round
}

// merge appends what is new, forgets what conflicts, and says what to record.
func (r *ledger) merge(part int, entries []journal.Entry) []journal.Record {
	var records []journal.Record
	for _, entry := range entries {
		last, _ := r.Last()
		if entry.Index <= r.Base.Index {
			continue
		}
		if entry.Index > last+1 {
			break
		}
		if held, known := r.at(entry.Index); known {
			if held.Round == entry.Round {
				continue
			}
			r.Entries = r.Entries[: entry.Index-r.Base.Index-1 : entry.Index-r.Base.Index-1]
		}
		r.Entries = append(r.Entries, entry)
		records = append(records, journal.Record{Kind: journal.Append, Part: part, Entry: entry})
	}
	return records
}

func (r *ledger) rebase(part int, base journal.Entry) journal.Record {
	kept := r.after(base.Index)
	if r.matches(base.Index, base.Round) && base.Index >= r.Base.Index {
		r.extendTrail(base.Index)
	} else {
		kept, r.trail = nil, nil
	}
	r.Base, r.Entries = base, append([]journal.Entry(nil), kept...)
	r.commit = max(r.commit, base.Index)
	return journal.Record{Kind: journal.Rebase, Part: part, Entry: base}
}

// extendTrail moves the entries up to an index to the trail.
func (r *ledger) extendTrail(index uint64) {
	trail := append(slices.Clone(r.trail), r.Entries[:index-r.Base.Index]...)
	size, first := 0, len(trail)
	for first > 0 && size+len(trail[first-1].Data) <= trailSize && len(trail)-first < trailMost {
		first--
		size += len(trail[first].Data)
	}
	switch {
	case first > 0:
		r.trailRound = trail[first-1].Round
	case len(r.trail) == 0:
		r.trailRound = r.Base.Round
	}
	r.trail = slices.Clone(trail[first:])
}
