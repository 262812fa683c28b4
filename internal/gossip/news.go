// Package news carries what the parts have committed to every daemon: it is
// passed on to a few siblings at once, and gaps are mended by comparing digests.
package news

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

func (h Head) same(other Head) bool {
	return h.Sequence == other.Sequence && h.Epoch == other.Epoch
}

// Step is one committed entry of a part's log.
type Step struct {
	Index, Round uint64
	Data         []byte
}

// Item is a part's state under its head: whole, or as the steps that lead to it.
type Item struct {
	Head
	Data  []byte
	Steps []Step
}

// Offer is what a sibling pushes. Who lacks what its steps build on asks it.
type Offer struct {
	From  string
	Items []Item
}

// Digest lists what a sibling has; its answer brings what it lacks.
type Digest struct{ Heads []Head }

// Answer brings the items that the asker lacks and the answerer's own heads.
type Answer struct {
	Items []Item
	Heads []Head
}

// Counters are the store's counters.
type Counters struct {
	Taken  atomic.Int64
	Known  atomic.Int64
	Passed atomic.Int64
	Mended atomic.Int64
	// Stepped counts states that were reached by steps, Based those whose base is not
	// held here or whose steps do not fit, so that the whole is fetched.
	Stepped atomic.Int64
	Based   atomic.Int64
}

// mostSteps is how many steps a store remembers for siblings that are behind.
const mostSteps = 64

// Advance makes a part's state from an earlier one and the steps after it, if they lead
// to that sequence.
type Advance func(part int, data []byte, steps []Step, sequence uint64) ([]byte, bool)

// Store keeps the newest state of each part. Nothing older ever replaces it.
type Store struct {
	Counters
	lock    sync.Mutex
	items   map[int]Item
	steps   map[int][]Step
	advance Advance
	changed func(Item)
}

// NewStore calls changed, in order, for each newer state.
func NewStore(advance Advance, changed func(Item)) *Store {
	return &Store{items: map[int]Item{}, steps: map[int][]Step{}, advance: advance, changed: changed}
}

// Size is how many bytes of state an item carries.
func (u Item) Size() int { return len(u.Data) + size(u.Steps) }

// since is the steps after an index up to the item's own, if there is none missing.
func (u Item) since(index uint64) []Step {
	for place, step := range u.Steps {
		if step.Index == index+1 && u.Steps[len(u.Steps)-1].Index == u.Index && u.Index-index == uint64(len(u.Steps)-place) {
			return u.Steps[place:]
		}
	}
	return nil
}

// Take keeps an item if it is newer than the one held, and says whether its state is
// new here as well.
func (s *Store) Take(item Item) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	held, known := s.items[item.Part]
	if known && (item.Index <= held.Index || item.Sequence < held.Sequence) {
		s.Known.Add(1)
		return false
	}
	steps := item.since(held.Index)
	switch {
	case known && item.same(held.Head):
		item.Data = held.Data
	case item.Data != nil:
	case !known || steps == nil:
		s.Based.Add(1)
		return false
	default:
		data, fits := s.advance(item.Part, held.Data, steps, item.Sequence)
		if !fits {
			s.Based.Add(1)
			return false
		}
		s.Stepped.Add(1)
		item.Data = data
	}
	if known && steps != nil {
		steps = append(s.steps[item.Part], steps...)
		s.steps[item.Part] = slices.Clone(steps[max(len(steps)-mostSteps, 0):])
	} else {
		s.steps[item.Part] = nil
	}
	item.Steps = nil
	fresh := !known || !item.same(held.Head)
	s.items[item.Part] = item
	s.Taken.Add(1)
	if fresh && s.changed != nil {
		s.changed(item)
	}
	return fresh
}

// Sequence is the sequence held for a part; false when none is.
func (s *Store) Sequence(part int) (uint64, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	item, known := s.items[part]
	return item.Sequence, known
}

// Item is what is held for a part.
func (s *Store) Item(part int) (Item, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	item, known := s.items[part]
	return item, known
}

// Heads are the heads of all that is held.
func (s *Store) Heads() []Head {
	s.lock.Lock()
	defer s.lock.Unlock()
	heads := make([]Head, 0, len(s.items))
	for _, item := range s.items {
		heads = append(heads, item.Head)
	}
	return heads
}

func size(steps []Step) int {
	sum := 0
	for _, step := range steps {
		sum += len(step.Data)
	}
	return sum
}

// Compare answers a digest: the items that the asker lacks, without their data
// where only the head moved.
func (s *Store) Compare(digest Digest) Answer {
	theirs := map[int]Head{}
	for _, head := range digest.Heads {
		theirs[head.Part] = head
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	answer := Answer{}
	for part, item := range s.items {
		answer.Heads = append(answer.Heads, item.Head)
		head, known := theirs[part]
		if known && head.Index >= item.Index {
			continue
		}
		if known && head.same(item.Head) {
			item.Data = nil
		} else if item.Steps = s.steps[part]; known {
			if item.Steps = item.since(head.Index); size(item.Steps) < len(item.Data) && item.Steps != nil {
				item.Data = nil
			}
		}
		if item.Data != nil {
			item.Steps = nil
		}
		answer.Items = append(answer.Items, item)
	}
	return answer
}
