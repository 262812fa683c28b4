package consensus

import (
	"slices"

	"coursepass/internal/consensus/wal"
)

// The entries before the snapshot that are kept in memory, by bytes and by count.
const (
	tailMaxBytes   = 256 << 10
	tailMaxEntries = 256
)

type replicatedLog struct {
	wal.ShardState
	// compactedTail are the last entries up to the snapshot: a replica that is a little behind
	// needs them and not the snapshot.
	compactedTail []wal.Entry
	// precedingTerm is the round of the entry before the trail.
	precedingTerm uint64
	commitIndex   uint64
	appliedIndex  uint64
}

func (r *replicatedLog) entryAt(index uint64) (wal.Entry, bool) {
	if index <= r.Snapshot.Index {
		if distance := r.Snapshot.Index - index; distance < uint64(len(r.compactedTail)) {
			return r.compactedTail[uint64(len(r.compactedTail))-1-distance], true
		}
		return wal.Entry{}, false
	}
	if index-r.Snapshot.Index > uint64(len(r.Entries)) {
		return wal.Entry{}, false
	}
	return r.Entries[index-r.Snapshot.Index-1], true
}

func (r *replicatedLog) entriesAfter(index uint64) []wal.Entry {
	if index < r.Snapshot.Index {
		index = r.Snapshot.Index
	}
	if index-r.Snapshot.Index >= uint64(len(r.Entries)) {
		return nil
	}
	return r.Entries[index-r.Snapshot.Index:]
}

// entriesFrom is what follows an index that the log, or the trail before it, still reaches, with
// the round of the entry at the index.
func (r *replicatedLog) entriesFrom(index uint64) (entries []wal.Entry, term uint64, reachable bool) {
	if index == r.Snapshot.Index {
		return r.Entries, r.Snapshot.Round, true
	}
	if index > r.Snapshot.Index {
		entry, ok := r.entryAt(index)
		return r.entriesAfter(index), entry.Round, ok
	}
	distance := r.Snapshot.Index - index
	if distance > uint64(len(r.compactedTail)) {
		return nil, 0, false
	}
	term = r.precedingTerm
	if entry, ok := r.entryAt(index); ok {
		term = entry.Round
	}
	start := uint64(len(r.compactedTail)) - distance
	return append(r.compactedTail[start:len(r.compactedTail):len(r.compactedTail)], r.Entries...), term, true
}

// matches tells whether the log holds this entry, or has it under its base.
func (r *replicatedLog) matches(index, term uint64) bool {
	if index <= r.Snapshot.Index {
		return index < r.Snapshot.Index || term == r.Snapshot.Round
	}
	entry, ok := r.entryAt(index)
	return ok && entry.Round == term
}

// merge appends what is new, forgets what conflicts, and says what to record.
func (r *replicatedLog) merge(shard int, entries []wal.Entry) []wal.Record {
	var records []wal.Record
	for _, entry := range entries {
		last, _ := r.LastPosition()
		if entry.Index <= r.Snapshot.Index {
			continue
		}
		if entry.Index > last+1 {
			break
		}
		if existing, ok := r.entryAt(entry.Index); ok {
			if existing.Round == entry.Round {
				continue
			}
			r.Entries = r.Entries[: entry.Index-r.Snapshot.Index-1 : entry.Index-r.Snapshot.Index-1]
		}
		r.Entries = append(r.Entries, entry)
		records = append(records, wal.Record{Kind: wal.RecordAppend, Shard: shard, Entry: entry})
	}
	return records
}

func (r *replicatedLog) compact(shard int, snapshot wal.Entry) wal.Record {
	retained := r.entriesAfter(snapshot.Index)
	if r.matches(snapshot.Index, snapshot.Round) && snapshot.Index >= r.Snapshot.Index {
		r.extendTail(snapshot.Index)
	} else {
		retained, r.compactedTail = nil, nil
	}
	r.Snapshot, r.Entries = snapshot, append([]wal.Entry(nil), retained...)
	r.commitIndex = max(r.commitIndex, snapshot.Index)
	return wal.Record{Kind: wal.RecordSnapshot, Shard: shard, Entry: snapshot}
}

// extendTail moves the entries up to an index to the trail.
func (r *replicatedLog) extendTail(index uint64) {
	tail := append(slices.Clone(r.compactedTail), r.Entries[:index-r.Snapshot.Index]...)
	size, first := 0, len(tail)
	for first > 0 && size+len(tail[first-1].Data) <= tailMaxBytes && len(tail)-first < tailMaxEntries {
		first--
		size += len(tail[first].Data)
	}
	switch {
	case first > 0:
		r.precedingTerm = tail[first-1].Round
	case len(r.compactedTail) == 0:
		r.precedingTerm = r.Snapshot.Round
	}
	r.compactedTail = slices.Clone(tail[first:])
}
