package lifecycle

import (
	"hash/maphash"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

const (
	// ShardCount is how many shares the keys have, each under its own lock.
	ShardCount   = 16
	keyRetention = 10 * 60 * clock.Second
	maxKeys      = 1 << 16
)

// IdempotencyKey is what a router remembers of one caller's key.
type IdempotencyKey struct {
	Name       string
	Number     uint64
	ReservedAt clock.Microseconds
	// Outcome is what became of its request, empty while it is under way.
	Outcome Outcome
	// Replicated says that this router has asked the cores to keep it.
	Replicated bool
}

type keyShard struct {
	lock        sync.Mutex
	keys        map[string]*IdempotencyKey
	expiryQueue deque.Deque[*IdempotencyKey]
	last        uint64
}

// KeyTable remembers callers' keys, in use or ended, for a bounded time and number.
type KeyTable struct {
	seed    maphash.Seed
	shards  [ShardCount]keyShard
	maxKeys int
}

// NewKeyTable remembers nothing yet.
func NewKeyTable() *KeyTable {
	keys := &KeyTable{seed: maphash.MakeSeed(), maxKeys: maxKeys}
	for index := range keys.shards {
		keys.shards[index].keys = map[string]*IdempotencyKey{}
	}
	return keys
}

func (k *KeyTable) shardIndex(name string) uint64 { return maphash.String(k.seed, name) % ShardCount }

// Reserve takes a key. If it is taken, what is known of it is answered; a full table
// answers neither, and forgets nothing early.
func (k *KeyTable) Reserve(now clock.Microseconds, name string) (number uint64, earlier IdempotencyKey, conflict, full bool) {
	index := k.shardIndex(name)
	shard := &k.shards[index]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	for shard.expiryQueue.Len() > 0 && now-shard.expiryQueue.Front().ReservedAt >= keyRetention {
		oldest := shard.expiryQueue.PopFront()
		if shard.keys[oldest.Name] == oldest {
			delete(shard.keys, oldest.Name)
		}
	}
	if existing, ok := shard.keys[name]; ok {
		return 0, *existing, true, false
	}
	if len(shard.keys) >= k.maxKeys {
		return 0, IdempotencyKey{}, false, true
	}
	shard.last++
	reserved := &IdempotencyKey{Name: name, Number: shard.last*ShardCount + index, ReservedAt: now}
	shard.keys[name] = reserved
	shard.expiryQueue.PushBack(reserved)
	return reserved.Number, IdempotencyKey{}, false, false
}

// update applies to the key that this very request has claimed, if it still has it.
func (k *KeyTable) update(name string, number uint64, apply func(*keyShard, *IdempotencyKey)) {
	shard := &k.shards[k.shardIndex(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, ok := shard.keys[name]; ok && existing.Number == number {
		apply(shard, existing)
	}
}

// SetReplicated notes that the cores are asked to keep the key to this router.
func (k *KeyTable) SetReplicated(name string, number uint64) {
	k.update(name, number, func(_ *keyShard, key *IdempotencyKey) { key.Replicated = true })
}

// Complete notes what became of a request. A key whose request is proved not to have run
// may be used again.
func (k *KeyTable) Complete(name string, number uint64, outcome Outcome) {
	k.update(name, number, func(shard *keyShard, key *IdempotencyKey) {
		if key.Outcome = outcome; outcome == OutcomeNotRun {
			delete(shard.keys, name)
		}
	})
}

// Lookup is what is known of a key.
func (k *KeyTable) Lookup(name string) (IdempotencyKey, bool) {
	shard := &k.shards[k.shardIndex(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, ok := shard.keys[name]; ok {
		return *existing, true
	}
	return IdempotencyKey{}, false
}

// Count is how many keys are remembered.
func (k *KeyTable) Count() int {
	count := 0
	for index := range k.shards {
		shard := &k.shards[index]
		shard.lock.Lock()
		count += len(shard.keys)
		shard.lock.Unlock()
	}
	return count
}

// NextExpiry is when the next key is forgotten.
func (k *KeyTable) NextExpiry(now clock.Microseconds) clock.Microseconds {
	next := clock.Microseconds(keyRetention)
	for index := range k.shards {
		shard := &k.shards[index]
		shard.lock.Lock()
		if shard.expiryQueue.Len() > 0 {
			next = min(next, max(shard.expiryQueue.Front().ReservedAt+keyRetention-now, 0))
		}
		shard.lock.Unlock()
	}
	return next
}

// Replicated is every key that the cores are asked to keep to this router.
func (k *KeyTable) Replicated() []IdempotencyKey {
	var replicated []IdempotencyKey
	for index := range k.shards {
		shard := &k.shards[index]
		shard.lock.Lock()
		for _, key := range shard.keys {
			if key.Replicated {
				replicated = append(replicated, *key)
			}
		}
		shard.lock.Unlock()
	}
	return replicated
}
