package wal

import (
	"maps"
	"slices"
)

// ShardState is the content of the log for one shard. Its zero value is a shard without records.
type ShardState struct {
	// PromisedTerm is the highest promised term.
	PromisedTerm uint64
	// HasPromise is set if a promise was ever recorded. A shard without a promise counts as empty,
	// even if the file has other records of the shard.
	HasPromise bool
	// Snapshot is the last snapshot; its index is 0 if there is none.
	Snapshot Entry
	// Entries are the entries after the snapshot, with consecutive indexes.
	Entries []Entry
	// RecordedCommit is an index up to which the entries are known to be committed. Later entries
	// may be committed as well.
	RecordedCommit uint64
}

// LastPosition returns the index and term of the last entry, or of the snapshot if there are no
// entries.
func (s *ShardState) LastPosition() (index, term uint64) {
	if count := len(s.Entries); count > 0 {
		last := s.Entries[count-1]
		return last.Index, last.Term
	}
	return s.Snapshot.Index, s.Snapshot.Term
}

func (s *ShardState) apply(record Record) {
	switch record.Kind {
	case RecordPromise:
		s.PromisedTerm = record.Term
		s.HasPromise = true
	case RecordCommit:
		s.RecordedCommit = max(s.RecordedCommit, record.Index)
	case RecordAppend:
		s.appendEntry(record.Entry)
	case RecordSnapshot:
		s.setSnapshot(record.Entry)
	case RecordIdentity:
		// State.Apply handles it.
	}
}

// appendEntry drops the entries whose index is not below that of the new entry, and appends the new
// entry. It never overwrites elements of the slice's array, since copies of the slice may share the
// array.
func (s *ShardState) appendEntry(entry Entry) {
	count := len(s.Entries)
	for count > 0 && s.Entries[count-1].Index >= entry.Index {
		count--
	}
	s.Entries = append(s.Entries[:count:count], entry)
}

// setSnapshot sets the snapshot and drops the entries that it contains. A snapshot without an index drops
// all entries and the recorded commit index.
func (s *ShardState) setSnapshot(snapshot Entry) {
	if snapshot.Index == 0 {
		s.Snapshot, s.Entries, s.RecordedCommit = Entry{}, nil, 0
		return
	}
	s.Snapshot = snapshot
	contained := 0
	for contained < len(s.Entries) && s.Entries[contained].Index <= snapshot.Index {
		contained++
	}
	s.Entries = append([]Entry(nil), s.Entries[contained:]...)
}

// State is the result of applying all records in order.
type State struct {
	// Identity is the identity of the data directory.
	Identity []byte
	// Shards contains the state of each shard that has records, by shard number.
	Shards map[int]*ShardState
}

// NewState returns the state of an empty file.
func NewState() *State {
	return &State{Shards: map[int]*ShardState{}}
}

// Shard returns the state of a shard. It adds an empty state if the shard has none.
func (s *State) Shard(shard int) *ShardState {
	shardState, exists := s.Shards[shard]
	if !exists {
		shardState = &ShardState{}
		s.Shards[shard] = shardState
	}
	return shardState
}

// Apply applies a record to the state.
func (s *State) Apply(record Record) {
	if record.Kind == RecordIdentity {
		s.Identity = record.Data
		return
	}
	s.Shard(record.Shard).apply(record)
}

// Records returns the fewest records that result in this state, ordered by shard.
func (s *State) Records() []Record {
	records := []Record{{Kind: RecordIdentity, Entry: Entry{Data: s.Identity}}}
	for _, shard := range slices.Sorted(maps.Keys(s.Shards)) {
		records = append(records, s.Shards[shard].records(shard)...)
	}
	return records
}

// records returns the fewest records that result in this state of a shard.
func (s *ShardState) records(shard int) []Record {
	var records []Record
	if s.Snapshot.Index > 0 {
		records = append(records, Record{Kind: RecordSnapshot, Shard: shard, Entry: s.Snapshot})
	}
	for _, entry := range s.Entries {
		records = append(records, Record{Kind: RecordAppend, Shard: shard, Entry: entry})
	}
	if s.RecordedCommit > s.Snapshot.Index {
		records = append(records, Record{Kind: RecordCommit, Shard: shard, Entry: Entry{Index: s.RecordedCommit}})
	}
	if s.HasPromise {
		records = append(records, Record{Kind: RecordPromise, Shard: shard, Entry: Entry{Term: s.PromisedTerm}})
	}
	return records
}
