package gossip

import (
	"slices"
	"sync"
	"sync/atomic"
)

// maxRetainedEntries is how many entries of a shard are kept for peers that are behind.
const maxRetainedEntries = 64

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

// ApplyEntries returns the snapshot that results from an earlier one and the entries after it; false if they
// don't lead to the given revision.
type ApplyEntries func(shard int, data []byte, entries []Entry, revision uint64) ([]byte, bool)

// Store keeps the newest state of each shard. Its methods may be called from several goroutines.
type Store struct {
	Counters
	applyEntries ApplyEntries
	onChange     func(Update)

	// lock guards what follows, and is held during onChange.
	lock sync.Mutex
	// updates have the newest states by shard, as snapshots; entries the last entries that led to them.
	updates map[int]Update
	entries map[int][]Entry
}

// NewStore returns an empty store. It calls onChange, unless nil, for each newer state in order. The function
// must not call the store.
func NewStore(applyEntries ApplyEntries, onChange func(Update)) *Store {
	return &Store{
		applyEntries: applyEntries,
		onChange:     onChange,
		updates:      map[int]Update{},
		entries:      map[int][]Entry{},
	}
}

// Accept stores an update if it is newer than the stored one and its state is known or can be reached, and
// tells whether the state has changed by it.
func (s *Store) Accept(update Update) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	current, exists := s.updates[update.Shard]
	if exists && (update.Index <= current.Index || update.Revision < current.Revision) {
		s.Duplicates.Add(1)
		return false
	}
	entries := update.entriesSince(current.Index)
	data, reached := s.reachState(update, current, exists, entries)
	if !reached {
		s.SnapshotsNeeded.Add(1)
		return false
	}
	s.retainEntries(update.Shard, entries, exists)
	update.Data = data
	update.Entries = nil
	s.updates[update.Shard] = update
	s.Accepted.Add(1)
	stateChanged := !exists || !update.SameState(current.Head)
	if stateChanged && s.onChange != nil {
		s.onChange(update)
	}
	return stateChanged
}

// reachState returns the snapshot of an update: that of the stored one if the state is the same, its own, or
// the result of the entries since the stored one. The lock must be held.
func (s *Store) reachState(update, current Update, exists bool, entries []Entry) ([]byte, bool) {
	switch {
	case exists && update.SameState(current.Head):
		return current.Data, true
	case update.Data != nil:
		return update.Data, true
	case !exists || entries == nil:
		return nil, false
	}
	data, applied := s.applyEntries(update.Shard, current.Data, entries, update.Revision)
	if applied {
		s.AppliedIncrementally.Add(1)
	}
	return data, applied
}

// retainEntries keeps the last entries of a shard. Entries that don't follow the stored ones replace them by
// nothing. The lock must be held.
func (s *Store) retainEntries(shard int, entries []Entry, exists bool) {
	if !exists || entries == nil {
		s.entries[shard] = nil
		return
	}
	entries = append(s.entries[shard], entries...)
	s.entries[shard] = slices.Clone(entries[max(len(entries)-maxRetainedEntries, 0):])
}

// Revision returns the stored revision of a shard; false if there is none.
func (s *Store) Revision(shard int) (uint64, bool) {
	update, exists := s.Get(shard)
	return update.Revision, exists
}

// Get returns the stored state of a shard; false if there is none.
func (s *Store) Get(shard int) (Update, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	update, exists := s.updates[shard]
	return update, exists
}

// Heads returns the heads of all stored states, in no particular order.
func (s *Store) Heads() []Head {
	s.lock.Lock()
	defer s.lock.Unlock()
	heads := make([]Head, 0, len(s.updates))
	for _, update := range s.updates {
		heads = append(heads, update.Head)
	}
	return heads
}

// CompareDigest returns what the sender of a digest lacks, in the smallest form: nothing but the head if it
// has the state already, entries if they are smaller than the snapshot, or the snapshot.
func (s *Store) CompareDigest(digest Digest) DigestResponse {
	remoteHeads := map[int]Head{}
	for _, head := range digest.Heads {
		remoteHeads[head.Shard] = head
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	response := DigestResponse{}
	for shard, update := range s.updates {
		response.Heads = append(response.Heads, update.Head)
		remote, exists := remoteHeads[shard]
		switch {
		case !exists:
			response.Updates = append(response.Updates, update)
		case remote.Index < update.Index:
			response.Updates = append(response.Updates, s.updateSince(remote, update))
		}
	}
	return response
}

// updateSince returns the stored update for a peer that has an earlier one. The lock must be held.
func (s *Store) updateSince(remote Head, update Update) Update {
	if remote.SameState(update.Head) {
		return Update{Head: update.Head}
	}
	retained := Update{Head: update.Head, Entries: s.entries[update.Shard]}
	entries := retained.entriesSince(remote.Index)
	if entries != nil && entriesSize(entries) < len(update.Data) {
		return Update{Head: update.Head, Entries: entries}
	}
	return update
}
