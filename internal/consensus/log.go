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

func (ledger *ledger) at(index uint64) (journal.Entry, bool) {
	if index <= ledger.Base.Index {
		if before := ledger.Base.Index - index; before < uint64(len(ledger.trail)) {
			return ledger.trail[uint64(len(ledger.trail))-1-before], true
		}
		return journal.Entry{}, false
	}
	if index-ledger.Base.Index > uint64(len(ledger.Entries)) {
		return journal.Entry{}, false
	}
	return ledger.Entries[index-ledger.Base.Index-1], true
}

func (ledger *ledger) after(index uint64) []journal.Entry {
	if index < ledger.Base.Index {
		index = ledger.Base.Index
	}
	if index-ledger.Base.Index >= uint64(len(ledger.Entries)) {
		return nil
	}
	return ledger.Entries[index-ledger.Base.Index:]
}

// span is what follows an index that the log, or the trail before it, still reaches, with
// the round of the entry at the index.
func (ledger *ledger) span(index uint64) (entries []journal.Entry, round uint64, held bool) {
	if index == ledger.Base.Index {
		return ledger.Entries, ledger.Base.Round, true
	}
	if index > ledger.Base.Index {
		entry, known := ledger.at(index)
		return ledger.after(index), entry.Round, known
	}
	back := ledger.Base.Index - index
	if back > uint64(len(ledger.trail)) {
		return nil, 0, false
	}
	round = ledger.trailRound
	if entry, known := ledger.at(index); known {
		round = entry.Round
	}
	from := uint64(len(ledger.trail)) - back
	return append(ledger.trail[from:len(ledger.trail):len(ledger.trail)], ledger.Entries...), round, true
}

// matches tells whether the log holds this entry, or has it under its base.
func (ledger *ledger) matches(index, round uint64) bool {
	if index <= ledger.Base.Index {
		return index < ledger.Base.Index || round == ledger.Base.Round
	}
	entry, held := ledger.at(index)
	return held && entry.Round == round
}

// merge appends what is new, forgets what conflicts, and says what to record.
func (ledger *ledger) merge(part int, entries []journal.Entry) []journal.Record {
	var records []journal.Record
	for _, entry := range entries {
		last, _ := ledger.Last()
		if entry.Index <= ledger.Base.Index {
			continue
		}
		if entry.Index > last+1 {
			break
		}
		if held, known := ledger.at(entry.Index); known {
			if held.Round == entry.Round {
				continue
			}
			ledger.Entries = ledger.Entries[: entry.Index-ledger.Base.Index-1 : entry.Index-ledger.Base.Index-1]
		}
		ledger.Entries = append(ledger.Entries, entry)
		records = append(records, journal.Record{Kind: journal.Append, Part: part, Entry: entry})
	}
	return records
}

func (ledger *ledger) rebase(part int, base journal.Entry) journal.Record {
	kept := ledger.after(base.Index)
	if ledger.matches(base.Index, base.Round) && base.Index >= ledger.Base.Index {
		ledger.extendTrail(base.Index)
	} else {
		kept, ledger.trail = nil, nil
	}
	ledger.Base, ledger.Entries = base, append([]journal.Entry(nil), kept...)
	ledger.commit = max(ledger.commit, base.Index)
	return journal.Record{Kind: journal.Rebase, Part: part, Entry: base}
}

// extendTrail moves the entries up to an index to the trail.
func (ledger *ledger) extendTrail(index uint64) {
	trail := append(slices.Clone(ledger.trail), ledger.Entries[:index-ledger.Base.Index]...)
	size, first := 0, len(trail)
	for first > 0 && size+len(trail[first-1].Data) <= trailSize && len(trail)-first < trailMost {
		first--
		size += len(trail[first].Data)
	}
	switch {
	case first > 0:
		ledger.trailRound = trail[first-1].Round
	case len(ledger.trail) == 0:
		ledger.trailRound = ledger.Base.Round
	}
	ledger.trail = slices.Clone(trail[first:])
}
