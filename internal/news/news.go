// Package news carries what the parts have committed to every daemon: it is
// passed on to a few siblings at once, and gaps are mended by comparing digests.
package news

import (
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

func (head Head) same(other Head) bool {
	return head.Sequence == other.Sequence && head.Epoch == other.Epoch
}

// Item is a part's whole state under its head.
type Item struct {
	Head
	Data []byte
}

// Offer is what a sibling pushes.
type Offer struct{ Items []Item }

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
}

// Store keeps the newest state of each part. Nothing older ever replaces it.
type Store struct {
	Counters
	lock    sync.Mutex
	items   map[int]Item
	changed func(Item)
}

// NewStore calls changed, in order, for each newer state.
func NewStore(changed func(Item)) *Store {
	return &Store{items: map[int]Item{}, changed: changed}
}

// Take keeps an item if it is newer than the one held, and says whether its state is
// new here as well.
func (store *Store) Take(item Item) bool {
	store.lock.Lock()
	defer store.lock.Unlock()
	held, known := store.items[item.Part]
	if known && (item.Index <= held.Index || item.Sequence < held.Sequence) {
		store.Known.Add(1)
		return false
	}
	if known && item.same(held.Head) {
		item.Data = held.Data
	} else if item.Data == nil {
		return false
	}
	fresh := !known || !item.same(held.Head)
	store.items[item.Part] = item
	store.Taken.Add(1)
	if fresh && store.changed != nil {
		store.changed(item)
	}
	return fresh
}

// Sequence is the sequence held for a part; false when none is.
func (store *Store) Sequence(part int) (uint64, bool) {
	store.lock.Lock()
	defer store.lock.Unlock()
	item, known := store.items[part]
	return item.Sequence, known
}

// Item is what is held for a part.
func (store *Store) Item(part int) (Item, bool) {
	store.lock.Lock()
	defer store.lock.Unlock()
	item, known := store.items[part]
	return item, known
}

// Heads are the heads of all that is held.
func (store *Store) Heads() []Head {
	store.lock.Lock()
	defer store.lock.Unlock()
	heads := make([]Head, 0, len(store.items))
	for _, item := range store.items {
		heads = append(heads, item.Head)
	}
	return heads
}

// Compare answers a digest: the items that the asker lacks, without their data
// where only the head moved.
func (store *Store) Compare(digest Digest) Answer {
	theirs := map[int]Head{}
	for _, head := range digest.Heads {
		theirs[head.Part] = head
	}
	store.lock.Lock()
	defer store.lock.Unlock()
	answer := Answer{}
	for part, item := range store.items {
		answer.Heads = append(answer.Heads, item.Head)
		head, known := theirs[part]
		if known && head.Index >= item.Index {
			continue
		}
		if known && head.same(item.Head) {
			item.Data = nil
		}
		answer.Items = append(answer.Items, item)
	}
	return answer
}
