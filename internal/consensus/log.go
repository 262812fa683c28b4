package consensus

import (
	"slices"

	"coursepass/internal/consensus/wal"
)

// tailMaxBytes and tailMaxEntries are the maximum size in bytes and the maximum number of the
// compacted entries that are kept in memory.
const (
	tailMaxBytes   = 256 << 10
	tailMaxEntries = 256
)

// logPosition is the index and term of an entry.
type logPosition struct {
	index, term uint64
}

// after reports whether a log that ends at this position is more advanced than one that ends at
// other: its last term is higher, or its last term is the same and it is longer.
func (l logPosition) after(other logPosition) bool {
	if l.term != other.term {
		return l.term > other.term
	}
	return l.index > other.index
}

// replicatedLog is the log of a replica: a snapshot, the entries after it, and the commit state.
type replicatedLog struct {
	wal.ShardState
	// compactedTail holds the last entries that the snapshot contains too. A follower that is only
	// a few entries behind receives these entries instead of the snapshot.
	compactedTail []wal.Entry
	// precedingTerm is the term of the entry before compactedTail.
	precedingTerm uint64
	// commitIndex is the highest index that is known to be committed.
	commitIndex uint64
	// appliedIndex is the highest index that is applied to the state machine.
	appliedIndex uint64
}

// logReaches reports whether the local log is at least as advanced as a log that ends at a
// position.
func (r *replicatedLog) logReaches(position logPosition) bool {
	index, term := r.LastPosition()
	return !position.after(logPosition{index: index, term: term})
}

// entryAt returns the entry at an index, from the log or from compactedTail.
func (r *replicatedLog) entryAt(index uint64) (wal.Entry, bool) {
	if index <= r.Snapshot.Index {
		distance := r.Snapshot.Index - index
		count := uint64(len(r.compactedTail))
		if distance < count {
			return r.compactedTail[count-1-distance], true
		}
		return wal.Entry{}, false
	}
	offset := index - r.Snapshot.Index
	if offset > uint64(len(r.Entries)) {
		return wal.Entry{}, false
	}
	return r.Entries[offset-1], true
}

// entriesAfter returns the entries after an index that the snapshot does not contain.
func (r *replicatedLog) entriesAfter(index uint64) []wal.Entry {
	offset := max(index, r.Snapshot.Index) - r.Snapshot.Index
	if offset >= uint64(len(r.Entries)) {
		return nil
	}
	return r.Entries[offset:]
}

// entriesFrom returns the entries after an index, including those in compactedTail, and the term of
// the entry at the index. reachable is false if one of these entries is missing.
func (r *replicatedLog) entriesFrom(index uint64) (entries []wal.Entry, term uint64, reachable bool) {
	if index == r.Snapshot.Index {
		return r.Entries, r.Snapshot.Term, true
	}
	if index > r.Snapshot.Index {
		entry, ok := r.entryAt(index)
		return r.entriesAfter(index), entry.Term, ok
	}
	count := uint64(len(r.compactedTail))
	distance := r.Snapshot.Index - index
	if distance > count {
		return nil, 0, false
	}
	term = r.precedingTerm
	if entry, ok := r.entryAt(index); ok {
		term = entry.Term
	}
	tail := r.compactedTail[count-distance : count : count]
	return append(tail, r.Entries...), term, true
}

// matches reports whether the log contains the entry at a position. All entries before the last one
// of the snapshot are committed, so any term matches for them.
func (r *replicatedLog) matches(position logPosition) bool {
	if position.index <= r.Snapshot.Index {
		return position.index < r.Snapshot.Index || position.term == r.Snapshot.Term
	}
	entry, ok := r.entryAt(position.index)
	return ok && entry.Term == position.term
}

// merge appends the new entries among entries, drops existing entries that conflict with them, and
// returns the records to store.
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
			if existing.Term == entry.Term {
				continue
			}
			retained := entry.Index - r.Snapshot.Index - 1
			r.Entries = r.Entries[:retained:retained]
		}
		r.Entries = append(r.Entries, entry)
		records = append(records, wal.Record{Kind: wal.RecordAppend, Shard: shard, Entry: entry})
	}
	return records
}

// compact replaces the log up to the snapshot's index by the snapshot, and returns the record to
// store. If the snapshot does not continue this log, compact drops all entries.
func (r *replicatedLog) compact(shard int, snapshot wal.Entry) wal.Record {
	retained := r.entriesAfter(snapshot.Index)
	position := logPosition{index: snapshot.Index, term: snapshot.Term}
	if r.matches(position) && snapshot.Index >= r.Snapshot.Index {
		r.extendTail(snapshot.Index)
	} else {
		retained, r.compactedTail = nil, nil
	}
	r.Snapshot = snapshot
	r.Entries = append([]wal.Entry(nil), retained...)
	r.commitIndex = max(r.commitIndex, snapshot.Index)
	return wal.Record{Kind: wal.RecordSnapshot, Shard: shard, Entry: snapshot}
}

// extendTail moves the entries up to an index to compactedTail, and shortens compactedTail to its
// limits.
func (r *replicatedLog) extendTail(index uint64) {
	tail := append(slices.Clone(r.compactedTail), r.Entries[:index-r.Snapshot.Index]...)
	size, first := 0, len(tail)
	for first > 0 && size+len(tail[first-1].Data) <= tailMaxBytes && len(tail)-first < tailMaxEntries {
		first--
		size += len(tail[first].Data)
	}
	switch {
	case first > 0:
		r.precedingTerm = tail[first-1].Term
	case len(r.compactedTail) == 0:
		r.precedingTerm = r.Snapshot.Term
	}
	r.compactedTail = slices.Clone(tail[first:])
}
