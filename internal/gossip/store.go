package gossip

import (
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// maxRetainedEntries is the maximum number of log entries that the store retains per shard. Peers that are at
	// most this many entries behind can receive entries in place of a snapshot.
	maxRetainedEntries = 64
	// maxEntryBytes is the maximum total size, in bytes, of entries that are sent without a comparison with the size
	// of the snapshot. The comparison would require encoding the snapshot.
	maxEntryBytes = 4 << 10
)

// Counters counts the events of a store.
type Counters struct {
	// Accepted counts updates that were stored. Duplicates counts updates that were not newer than the stored state.
	Accepted   atomic.Int64
	Duplicates atomic.Int64
	// Forwarded counts pushes to peers. Repaired counts states that were received by comparing digests.
	Forwarded atomic.Int64
	Repaired  atomic.Int64
	// AppliedIncrementally counts states that were computed by applying entries. SnapshotsNeeded counts updates whose
	// state could not be computed or decoded, so that the snapshot must be fetched.
	AppliedIncrementally atomic.Int64
	SnapshotsNeeded      atomic.Int64
}

// State is the decoded state of a shard. It is immutable: applying entries returns a new State.
type State interface {
	// Apply returns the state that results from applying the entries to this state. It returns false if the
	// resulting state does not have the given revision.
	Apply(entries []Entry, revision uint64) (State, bool)
	// Snapshot encodes the state.
	Snapshot() []byte
}

// DecodeState decodes a snapshot of a shard's state. It returns false if the snapshot is malformed.
type DecodeState func(shard int, snapshot []byte) (State, bool)

// Store keeps the newest state of each shard. Its methods are safe for concurrent use.
//
// The store keeps states decoded, so that the cost of applying entries depends on the size of the change and not on
// the size of the state. A state is encoded on the first request for its snapshot, and the snapshot is cached.
type Store struct {
	Counters
	decode   DecodeState
	onChange func(Head, State)

	// lock guards records and their fields. It is held while onChange runs.
	lock sync.Mutex
	// records maps shards to their newest states.
	records map[int]*record
}

// record holds the newest state of a shard.
type record struct {
	Head
	state State
	// snapshot is the cached encoding of the state. It is nil until it is first requested.
	snapshot []byte
	// entries are the last log entries up to the state, at most maxRetainedEntries.
	entries []Entry
}

// NewStore returns an empty store. Unless onChange is nil, the store calls it for each changed state, in order. The
// store holds its lock during the call, so onChange must not call the store.
func NewStore(decode DecodeState, onChange func(Head, State)) *Store {
	return &Store{decode: decode, onChange: onChange, records: map[int]*record{}}
}

// Accept stores an update if the update is newer than the stored state and its state can be decoded or computed. It
// reports whether the stored state changed.
func (s *Store) Accept(update Update) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.accept(update, func(current *record, entries []Entry) (State, bool) {
		return s.resolveState(update, current, entries)
	})
}

// AcceptState is like Accept, but takes the decoded state of the update as an argument. It is for updates that
// originate at this daemon.
func (s *Store) AcceptState(update Update, state State) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.accept(update, func(*record, []Entry) (State, bool) { return state, true })
}

// accept stores an update if it is newer than the stored state. It calls resolve for the state of the update, unless
// the update has the same state as the stored one. The lock must be held.
func (s *Store) accept(update Update, resolve func(current *record, entries []Entry) (State, bool)) bool {
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
		state, resolved := resolve(current, entries)
		if !resolved {
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

// resolveState returns the state of an update: the decoded snapshot if there is one, otherwise the result of applying
// entries to the stored state. It returns false if neither is possible. The lock must be held.
func (s *Store) resolveState(update Update, current *record, entries []Entry) (State, bool) {
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

// retainedEntries appends the entries of an update to the earlier ones and returns the last maxRetainedEntries. If
// entries is nil, the update does not directly follow the earlier entries, and the result is nil.
func retainedEntries(earlier, entries []Entry) []Entry {
	if entries == nil {
		return nil
	}
	combined := slices.Concat(earlier, entries)
	return slices.Clone(combined[max(len(combined)-maxRetainedEntries, 0):])
}

// Revision returns the revision of the stored state of a shard. It returns false if no state is stored.
func (s *Store) Revision(shard int) (uint64, bool) {
	head, exists := s.Head(shard)
	return head.Revision, exists
}

// Head returns the head of the stored state of a shard. It returns false if no state is stored.
func (s *Store) Head(shard int) (Head, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if stored, exists := s.records[shard]; exists {
		return stored.Head, true
	}
	return Head{}, false
}

// Get returns the stored state of a shard as an update with a snapshot. It returns false if no state is stored.
func (s *Store) Get(shard int) (Update, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	stored, exists := s.records[shard]
	if !exists {
		return Update{}, false
	}
	return stored.update(), true
}

// update returns the state as an update with a snapshot, which it encodes if necessary. The store's lock must be held.
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

// CompareDigest returns the updates that the sender of a digest lacks, each in the smallest form: only the head if
// the sender already has the state, the entries if they are retained and small or smaller than the snapshot, or
// otherwise the snapshot. CompareDigest calls admit with the size of each update and omits the update if admit returns
// false. The response contains the heads of all stored states, also those of omitted updates.
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

// updateSince returns the smallest update from the remote head, which is older, to the stored state. The store's lock
// must be held.
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
