package relay

import (
	"hash/maphash"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

const (
	// Shards is how many shares the keys have, each under its own lock.
	Shards  = 16
	keepFor = 10 * 60 * schedule.Second
	most    = 1 << 16
)

// Key is what a router remembers of one caller's key.
type Key struct {
	Name   string
	Number uint64
	At     schedule.Microseconds
	// Ending is what became of its request, empty while it is under way.
	Ending Ending
	// Claimed says that this router has asked the cores to keep it.
	Claimed bool
}

type keyShard struct {
	lock  sync.Mutex
	keys  map[string]*Key
	order deque.Deque[*Key]
	last  uint64
}

// Keys remembers callers' keys, in use or ended, for a bounded time and number.
type Keys struct {
	seed   maphash.Seed
	shards [Shards]keyShard
	most   int
}

// NewKeys remembers nothing yet.
func NewKeys() *Keys {
	keys := &Keys{seed: maphash.MakeSeed(), most: most}
	for index := range keys.shards {
		keys.shards[index].keys = map[string]*Key{}
	}
	return keys
}

func (k *Keys) place(name string) uint64 { return maphash.String(k.seed, name) % Shards }

// Claim takes a key. If it is taken, what is known of it is answered; a full table
// answers neither, and forgets nothing early.
func (k *Keys) Claim(now schedule.Microseconds, name string) (number uint64, earlier Key, taken, full bool) {
	place := k.place(name)
	shard := &k.shards[place]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	for shard.order.Len() > 0 && now-shard.order.Front().At >= keepFor {
		oldest := shard.order.PopFront()
		if shard.keys[oldest.Name] == oldest {
			delete(shard.keys, oldest.Name)
		}
	}
	if found, known := shard.keys[name]; known {
		return 0, *found, true, false
	}
	if len(shard.keys) >= k.most {
		return 0, Key{}, false, true
	}
	shard.last++
	made := &Key{Name: name, Number: shard.last*Shards + place, At: now}
	shard.keys[name] = made
	shard.order.PushBack(made)
	return made.Number, Key{}, false, false
}

// change applies to the key that this very request has claimed, if it still has it.
func (k *Keys) change(name string, number uint64, apply func(*keyShard, *Key)) {
	shard := &k.shards[k.place(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if found, known := shard.keys[name]; known && found.Number == number {
		apply(shard, found)
	}
}

// Keep notes that the cores are asked to keep the key to this router.
func (k *Keys) Keep(name string, number uint64) {
	k.change(name, number, func(_ *keyShard, key *Key) { key.Claimed = true })
}

// End notes what became of a request. A key whose request is proved not to have run
// may be used again.
func (k *Keys) End(name string, number uint64, ending Ending) {
	k.change(name, number, func(shard *keyShard, key *Key) {
		if key.Ending = ending; ending == NotRun {
			delete(shard.keys, name)
		}
	})
}

// Told is what is known of a key.
func (k *Keys) Told(name string) (Key, bool) {
	shard := &k.shards[k.place(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if found, known := shard.keys[name]; known {
		return *found, true
	}
	return Key{}, false
}

// Count is how many keys are remembered.
func (k *Keys) Count() int {
	count := 0
	for index := range k.shards {
		shard := &k.shards[index]
		shard.lock.Lock()
		count += len(shard.keys)
		shard.lock.Unlock()
	}
	return count
}

// Lapse is when the next key is forgotten.
func (k *Keys) Lapse(now schedule.Microseconds) schedule.Microseconds {
	next := schedule.Microseconds(keepFor)
	for index := range k.shards {
		shard := &k.shards[index]
		shard.lock.Lock()
		if shard.order.Len() > 0 {
			next = min(next, max(shard.order.Front().At+keepFor-now, 0))
		}
		shard.lock.Unlock()
	}
	return next
}

// Claimed is every key that the cores are asked to keep to this router.
func (k *Keys) Claimed() []Key {
	var found []Key
	for index := range k.shards {
		shard := &k.shards[index]
		shard.lock.Lock()
		for _, key := range shard.keys {
			if key.Claimed {
				found = append(found, *key)
			}
		}
		shard.lock.Unlock()
	}
	return found
}
