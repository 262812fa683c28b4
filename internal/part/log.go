package part

import "coursepass/internal/journal"

type ledger struct {
	journal.Past
	commit  uint64
	applied uint64
}

func (ledger *ledger) at(index uint64) (journal.Entry, bool) {
	if index <= ledger.Base.Index || index-ledger.Base.Index > uint64(len(ledger.Entries)) {
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
	if !ledger.matches(base.Index, base.Round) {
		kept = nil
	}
	ledger.Base, ledger.Entries = base, append([]journal.Entry(nil), kept...)
	ledger.commit = max(ledger.commit, base.Index)
	return journal.Record{Kind: journal.Rebase, Part: part, Entry: base}
}
