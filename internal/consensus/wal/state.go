package wal

import (
	"maps"
	"slices"
)

// ShardState is what a part had on disk.
type ShardState struct {
	PromisedTerm uint64
	// HasPromise says that a promise was ever recorded: without one the part is empty,
	// even if the file has other records.
	HasPromise bool
	Snapshot   Entry
	Entries    []Entry
	// RecordedCommit is an index up to which the entries are committed, as far as it was noted.
	RecordedCommit uint64
}

// LastPosition is the last entry's index and round.
func (s *ShardState) LastPosition() (uint64, uint64) {
	if count := len(s.Entries); count > 0 {
		return s.Entries[count-1].Index, s.Entries[count-1].Round
	}
	return s.Snapshot.Index, s.Snapshot.Round
}

func (s *ShardState) apply(record Record) {
	switch record.Kind {
	case RecordPromise:
		s.PromisedTerm, s.HasPromise = record.Round, true
	case RecordCommit:
		s.RecordedCommit = max(s.RecordedCommit, record.Index)
	case RecordAppend:
		for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].Index >= record.Index {
			s.Entries = s.Entries[:len(s.Entries)-1]
		}
		s.Entries = append(s.Entries[:len(s.Entries):len(s.Entries)], record.Entry)
	case RecordSnapshot:
		s.Snapshot = record.Entry
		retained := 0
		for retained < len(s.Entries) && s.Entries[retained].Index <= record.Index {
			retained++
		}
		s.Entries = append([]Entry(nil), s.Entries[retained:]...)
	}
}

// State is the sum of all records: what a rewritten file holds.
type State struct {
	Identity []byte
	Shards   map[int]*ShardState
}

// NewState is the image of an empty file.
func NewState() *State { return &State{Shards: map[int]*ShardState{}} }

// Shard is the part's share, empty if there is none.
func (s *State) Shard(shard int) *ShardState {
	shardState, exists := s.Shards[shard]
	if !exists {
		shardState = &ShardState{}
		s.Shards[shard] = shardState
	}
	return shardState
}

// Apply adds a record to the image.
func (s *State) Apply(record Record) {
	if record.Kind == RecordIdentity {
		s.Identity = record.Data
		return
	}
	s.Shard(record.Shard).apply(record)
}

// Records are the fewest records that give this image again, in a fixed order.
func (s *State) Records() []Record {
	records := []Record{{Kind: RecordIdentity, Entry: Entry{Data: s.Identity}}}
	for _, shard := range slices.Sorted(maps.Keys(s.Shards)) {
		shardState := s.Shards[shard]
		if shardState.Snapshot.Index > 0 {
			records = append(records, Record{RecordSnapshot, shard, shardState.Snapshot})
		}
		for _, entry := range shardState.Entries {
			records = append(records, Record{RecordAppend, shard, entry})
		}
		if shardState.RecordedCommit > shardState.Snapshot.Index {
			records = append(records, Record{RecordCommit, shard, Entry{Index: shardState.RecordedCommit}})
		}
		if shardState.HasPromise {
			records = append(records, Record{RecordPromise, shard, Entry{Round: shardState.PromisedTerm}})
		}
	}
	return records
}
