// Package gossip carries what the parts have committed to every daemon: it is
// passed on to a few siblings at once, and gaps are mended by comparing digests.
package gossip

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Head names a part's state: the log index it stands at, that entry's round, the
// state's own sequence, and the epoch of the part's bindings.
type Head struct {
	Part     int
	Index    uint64
	Round    uint64
	Sequence uint64
	Epoch    uint64
}

func (h Head) sameState(other Head) bool {
	return h.Sequence == other.Sequence && h.Epoch == other.Epoch
}

// Entry is one committed entry of a part's log.
type Entry struct {
	Index, Round uint64
	Data         []byte
}

// Update is a part's state under its head: whole, or as the steps that lead to it.
type Update struct {
	Head
	Data  []byte
	Steps []Entry
}

// PushRequest is what a sibling pushes. Who lacks what its steps build on asks it.
type PushRequest struct {
	From  string
	Items []Update
}

// Digest lists what a sibling has; its answer brings what it lacks.
type Digest struct{ Heads []Head }

// DigestResponse brings the items that the asker lacks and the answerer's own heads.
type DigestResponse struct {
	Items []Update
	Heads []Head
}

// Counters are the store's counters.
type Counters struct {
	Accepted   atomic.Int64
	Duplicates atomic.Int64
	Forwarded  atomic.Int64
	Repaired   atomic.Int64
	// AppliedIncrementally counts states that were reached by steps, Based those whose base is not
	// held here or whose steps do not fit, so that the whole is fetched.
	AppliedIncrementally atomic.Int64
	SnapshotsNeeded      atomic.Int64
}

// maxRetainedEntries is how many steps a store remembers for siblings that are behind.
const maxRetainedEntries = 64

// ApplyEntries makes a part's state from an earlier one and the steps after it, if they lead
// to that sequence.
type ApplyEntries func(shard int, data []byte, entries []Entry, revision uint64) ([]byte, bool)

// Store keeps the newest state of each part. Nothing older ever replaces it.
type Store struct {
	Counters
	lock         sync.Mutex
	updates      map[int]Update
	entries      map[int][]Entry
	applyEntries ApplyEntries
	onChange     func(Update)
}

// NewStore calls changed, in order, for each newer state.
func NewStore(applyEntries ApplyEntries, onChange func(Update)) *Store {
	return &Store{updates: map[int]Update{}, entries: map[int][]Entry{}, applyEntries: applyEntries, onChange: onChange}
}

// Size is how many bytes of state an item carries.
func (u Update) Size() int { return len(u.Data) + entriesSize(u.Steps) }

// entriesSince is the steps after an index up to the item's own, if there is none missing.
func (u Update) entriesSince(index uint64) []Entry {
	for position, entry := range u.Steps {
		if entry.Index == index+1 && u.Steps[len(u.Steps)-1].Index == u.Index && u.Index-index == uint64(len(u.Steps)-position) {
			return u.Steps[position:]
		}
	}
	return nil
}

// Accept keeps an item if it is newer than the one held, and says whether its state is
// new here as well.
func (s *Store) Accept(update Update) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	current, exists := s.updates[update.Part]
	if exists && (update.Index <= current.Index || update.Sequence < current.Sequence) {
		s.Duplicates.Add(1)
		return false
	}
	entries := update.entriesSince(current.Index)
	switch {
	case exists && update.sameState(current.Head):
		update.Data = current.Data
	case update.Data != nil:
	case !exists || entries == nil:
		s.SnapshotsNeeded.Add(1)
		return false
	default:
		data, applied := s.applyEntries(update.Part, current.Data, entries, update.Sequence)
		if !applied {
			s.SnapshotsNeeded.Add(1)
			return false
		}
		s.AppliedIncrementally.Add(1)
		update.Data = data
	}
	if exists && entries != nil {
		entries = append(s.entries[update.Part], entries...)
		s.entries[update.Part] = slices.Clone(entries[max(len(entries)-maxRetainedEntries, 0):])
	} else {
		s.entries[update.Part] = nil
	}
	update.Steps = nil
	stateChanged := !exists || !update.sameState(current.Head)
	s.updates[update.Part] = update
	s.Accepted.Add(1)
	if stateChanged && s.onChange != nil {
		s.onChange(update)
	}
	return stateChanged
}

// Revision is the sequence held for a part; false when none is.
func (s *Store) Revision(shard int) (uint64, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	update, exists := s.updates[shard]
	return update.Sequence, exists
}

// Get is what is held for a part.
func (s *Store) Get(shard int) (Update, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	update, exists := s.updates[shard]
	return update, exists
}

// Heads are the heads of all that is held.
func (s *Store) Heads() []Head {
	s.lock.Lock()
	defer s.lock.Unlock()
	heads := make([]Head, 0, len(s.updates))
	for _, update := range s.updates {
		heads = append(heads, update.Head)
	}
	return heads
}

func entriesSize(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += len(entry.Data)
	}
	return total
}

// CompareDigest answers a digest: the items that the asker lacks, without their data
// where only the head moved.
func (s *Store) CompareDigest(digest Digest) DigestResponse {
	remoteHeads := map[int]Head{}
	for _, head := range digest.Heads {
		remoteHeads[head.Part] = head
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	response := DigestResponse{}
	for shard, update := range s.updates {
		response.Heads = append(response.Heads, update.Head)
		head, exists := remoteHeads[shard]
		if exists && head.Index >= update.Index {
			continue
		}
		if exists && head.sameState(update.Head) {
			update.Data = nil
		} else if update.Steps = s.entries[shard]; exists {
			if update.Steps = update.entriesSince(head.Index); entriesSize(update.Steps) < len(update.Data) && update.Steps != nil {
				update.Data = nil
			}
		}
		if update.Data != nil {
			update.Steps = nil
		}
		response.Items = append(response.Items, update)
	}
	return response
}
