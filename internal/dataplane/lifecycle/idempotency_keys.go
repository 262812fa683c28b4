package lifecycle

import (
	"hash/maphash"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

const (
	// ShardCount is the number of independently locked shards of a key table.
	ShardCount = 16
	// keyRetention is how long a key is remembered from its reservation on.
	keyRetention = 600 * clock.Second
	// maxKeys is the most keys in one shard.
	maxKeys = 1 << 16
)

// IdempotencyKey is what a router remembers of a caller's key.
type IdempotencyKey struct {
	Name string
	// Number identifies the request that reserved the key.
	Number     uint64
	ReservedAt clock.Microseconds
	// Outcome is the outcome of that request, empty while it runs.
	Outcome Outcome
	// Replicated means that this router has asked the control plane to reserve the key.
	Replicated bool
}

type keyShard struct {
	lock sync.Mutex
	keys map[string]*IdempotencyKey
	// expiryQueue holds the keys in the order of their reservation, released ones too.
	expiryQueue deque.Deque[*IdempotencyKey]
	// last is the number of keys that were ever reserved.
	last uint64
}

// expire removes the keys that are older than the retention time.
func (k *keyShard) expire(now clock.Microseconds) {
	for k.expiryQueue.Len() > 0 && now-k.expiryQueue.Front().ReservedAt >= keyRetention {
		oldest := k.expiryQueue.PopFront()
		if k.keys[oldest.Name] == oldest {
			delete(k.keys, oldest.Name)
		}
	}
}

// KeyTable remembers the idempotency keys of callers at one router, with the outcomes of
// their requests, for a bounded time and number. It is safe for concurrent use. It is sharded like
// the members' table, idempotency.Store; that one keeps who has claimed a key, and not how the
// request ended, so that the two have only the locking in common.
type KeyTable struct {
	seed    maphash.Seed
	shards  [ShardCount]keyShard
	maxKeys int
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable {
	keys := &KeyTable{seed: maphash.MakeSeed(), maxKeys: maxKeys}
	for index := range keys.shards {
		keys.shards[index].keys = map[string]*IdempotencyKey{}
	}
	return keys
}

func (k *KeyTable) shardIndex(name string) uint64 { return maphash.String(k.seed, name) % ShardCount }

// ReservationResult says how the reservation of a key ended.
type ReservationResult int

const (
	// KeyReserved means that the key is reserved for the new request.
	KeyReserved ReservationResult = iota
	// KeyConflict means that the key is reserved for an earlier request.
	KeyConflict
	// KeyTableFull means that the key is not known and the table has no room for it.
	KeyTableFull
)

// KeyReservation is the answer to the reservation of a key.
type KeyReservation struct {
	Result ReservationResult
	// Number is the new request's number if the key is reserved.
	Number uint64
	// Earlier is what is known of the key on a conflict.
	Earlier IdempotencyKey
}

// Reserve reserves a key for a new request. A full table reserves nothing, since it must not
// forget a key early.
func (k *KeyTable) Reserve(now clock.Microseconds, name string) KeyReservation {
	index := k.shardIndex(name)
	shard := &k.shards[index]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.expire(now)
	if existing, ok := shard.keys[name]; ok {
		return KeyReservation{Result: KeyConflict, Earlier: *existing}
	}
	if len(shard.keys) >= k.maxKeys {
		return KeyReservation{Result: KeyTableFull}
	}
	shard.last++
	reserved := &IdempotencyKey{Name: name, Number: shard.last*ShardCount + index, ReservedAt: now}
	shard.keys[name] = reserved
	shard.expiryQueue.PushBack(reserved)
	return KeyReservation{Result: KeyReserved, Number: reserved.Number}
}

// update changes a key that is still reserved for the request of this number.
func (k *KeyTable) update(name string, number uint64, apply func(*keyShard, *IdempotencyKey)) {
	shard := &k.shards[k.shardIndex(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, ok := shard.keys[name]; ok && existing.Number == number {
		apply(shard, existing)
	}
}

// SetReplicated records that the control plane is asked to reserve the key.
func (k *KeyTable) SetReplicated(name string, number uint64) {
	k.update(name, number, func(_ *keyShard, key *IdempotencyKey) { key.Replicated = true })
}

// Complete records the outcome of a request. A key whose request is proved not to have run is
// released.
func (k *KeyTable) Complete(name string, number uint64, outcome Outcome) {
	k.update(name, number, func(shard *keyShard, key *IdempotencyKey) {
		key.Outcome = outcome
		if outcome == OutcomeNotRun {
			delete(shard.keys, name)
		}
	})
}

// Lookup returns what is known of a key.
func (k *KeyTable) Lookup(name string) (IdempotencyKey, bool) {
	shard := &k.shards[k.shardIndex(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, ok := shard.keys[name]; ok {
		return *existing, true
	}
	return IdempotencyKey{}, false
}

// Count returns the number of keys, also of those due to expire.
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

// NextExpiry returns the time until the next key expires, or the retention time.
func (k *KeyTable) NextExpiry(now clock.Microseconds) clock.Microseconds {
	next := keyRetention
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

// Replicated returns the keys that the control plane is asked to reserve.
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
