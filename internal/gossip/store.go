package gossip

import (
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// maxRetainedEntries is how many entries of a shard are kept for peers that are behind.
	maxRetainedEntries = 64
	// maxEntryBytes is the size up to which entries are sent without a look at the size of the snapshot, which
	// would have to be encoded for it.
	maxEntryBytes = 4 << 10
)

// Counters of a store.
type Counters struct {
	// Accepted counts updates that were stored, Duplicates those that were no newer than the stored one.
	Accepted   atomic.Int64
	Duplicates atomic.Int64
	// Forwarded counts pushes, Repaired the states that came by a comparison of digests.
	Forwarded atomic.Int64
	Repaired  atomic.Int64
	// AppliedIncrementally counts states that entries led to, SnapshotsNeeded updates whose entries did
	// not apply, so that the snapshot must be fetched.
	AppliedIncrementally atomic.Int64
	SnapshotsNeeded      atomic.Int64
}

// State is a shard's state, decoded. It never changes: entries lead to another one.
type State interface {
	// Apply returns the state that results from the entries after this one; false if they don't lead to the
	// given revision.
	Apply(entries []Entry, revision uint64) (State, bool)
	// Snapshot encodes the state.
	Snapshot() []byte
}

// DecodeState decodes the snapshot of a shard's state; false if it is malformed.
type DecodeState func(shard int, snapshot []byte) (State, bool)

// Store keeps the newest state of each shard. Its methods may be called from several goroutines.
//
// States are kept decoded, so that entries cost what they change. A state is encoded once somebody asks for its
// snapshot, and then once for all who do.
type Store struct {
	Counters
	decode   DecodeState
	onChange func(Head, State)

	// lock guards records and what they hold, and is held during onChange.
	lock sync.Mutex
	// records are by shard.
	records map[int]*record
}

// record is the newest state of a shard.
type record struct {
	Head
	state State
	// snapshot is the state encoded, nil as long as nobody has asked for it.
	snapshot []byte
	// entries are the last entries that led to the state.
	entries []Entry
}

// NewStore returns an empty store. It calls onChange, unless nil, for each newer state in order. The function
// must not call the store.
func NewStore(decode DecodeState, onChange func(Head, State)) *Store {
	return &Store{decode: decode, onChange: onChange, records: map[int]*record{}}
}

// Accept stores an update if it is newer than the stored one and its state is known or can be reached, and
// tells whether the state has changed by it.
func (s *Store) Accept(update Update) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.accept(update, func(current *record, entries []Entry) (State, bool) {
		return s.reachState(update, current, entries)
	})
}

// AcceptState is Accept for an update of this daemon, which has its state decoded in place of a snapshot.
func (s *Store) AcceptState(update Update, state State) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.accept(update, func(*record, []Entry) (State, bool) { return state, true })
}

// accept stores an update whose state, unless it is that of the stored one, reach returns. The lock must be held.
func (s *Store) accept(update Update, reach func(current *record, entries []Entry) (State, bool)) bool {
	current, exists := s.records[update.Shard]
	if !exists {
		current = &record{}
	}
	if exists && (update.Index <= current.Index || update.Revision < current.Revision) {
		s.Duplicates.Add(1)
		return false
	}
	entries := update.entriesSince(current.Index)
	next := &record{Head: update.Head, state: current.state, snapshot: current.snapshot}
	stateChanged := !exists || !update.SameState(current.Head)
	if stateChanged {
		state, reached := reach(current, entries)
		if !reached {
			s.SnapshotsNeeded.Add(1)
			return false
		}
		next.state, next.snapshot = state, update.Data
	}
	if exists {
		next.entries = retainedEntries(current.entries, entries)
	}
	s.records[update.Shard] = next
	s.Accepted.Add(1)
	if stateChanged && s.onChange != nil {
		s.onChange(next.Head, next.state)
	}
	return stateChanged
}

// reachState returns the state of an update: that of its snapshot, or the result of the entries since the stored
// one. The lock must be held.
func (s *Store) reachState(update Update, current *record, entries []Entry) (State, bool) {
	switch {
	case update.Data != nil:
		return s.decode(update.Shard, update.Data)
	case current.state == nil || entries == nil:
		return nil, false
	}
	state, applied := current.state.Apply(entries, update.Revision)
	if applied {
		s.AppliedIncrementally.Add(1)
	}
	return state, applied
}

// retainedEntries returns the last entries after those of an update. Entries that don't follow the earlier ones
// replace them by nothing.
func retainedEntries(earlier, entries []Entry) []Entry {
	if entries == nil {
		return nil
	}
	joined := slices.Concat(earlier, entries)
	return slices.Clone(joined[max(len(joined)-maxRetainedEntries, 0):])
}

// Revision returns the stored revision of a shard; false if there is none.
func (s *Store) Revision(shard int) (uint64, bool) {
	head, exists := s.Head(shard)
	return head.Revision, exists
}

// Head returns the head of the stored state of a shard; false if there is none.
func (s *Store) Head(shard int) (Head, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if stored, exists := s.records[shard]; exists {
		return stored.Head, true
	}
	return Head{}, false
}

// Get returns the stored state of a shard as a snapshot; false if there is none.
func (s *Store) Get(shard int) (Update, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	stored, exists := s.records[shard]
	if !exists {
		return Update{}, false
	}
	return stored.update(), true
}

// update returns the state as a snapshot. The store's lock must be held.
func (r *record) update() Update {
	if r.snapshot == nil {
		r.snapshot = r.state.Snapshot()
	}
	return Update{Head: r.Head, Data: r.snapshot}
}

// Heads returns the heads of all stored states, in no particular order.
func (s *Store) Heads() []Head {
	s.lock.Lock()
	defer s.lock.Unlock()
	heads := make([]Head, 0, len(s.records))
	for _, stored := range s.records {
		heads = append(heads, stored.Head)
	}
	return heads
}

// CompareDigest returns what the sender of a digest lacks, in the smallest form: nothing but the head if it
// has the state already, entries if they are smaller than the snapshot, or the snapshot. An update that admit,
// called with its size, rejects is left out; its head is among those of the response.
func (s *Store) CompareDigest(digest Digest, admit func(bytes int) bool) DigestResponse {
	remoteHeads := map[int]Head{}
	for _, head := range digest.Heads {
		remoteHeads[head.Shard] = head
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	response := DigestResponse{}
	for shard, stored := range s.records {
		response.Heads = append(response.Heads, stored.Head)
		remote, exists := remoteHeads[shard]
		if exists && remote.Index >= stored.Index {
			continue
		}
		update := stored.update
		if exists {
			update = func() Update { return stored.updateSince(remote) }
		}
		if missing := update(); admit(missing.Size()) {
			response.Updates = append(response.Updates, missing)
		}
	}
	return response
}

// updateSince returns the stored state for a peer that has an earlier one. The store's lock must be held.
func (r *record) updateSince(remote Head) Update {
	if remote.SameState(r.Head) {
		return Update{Head: r.Head}
	}
	retained := Update{Head: r.Head, Entries: r.entries}
	entries := retained.entriesSince(remote.Index)
	if entries == nil {
		return r.update()
	}
	if size := entriesSize(entries); size > maxEntryBytes && size >= len(r.update().Data) {
		return r.update()
	}
	return Update{Head: r.Head, Entries: entries}
}
