package lifecycle

import (
	"hash/maphash"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

const (
	// ShardCount is the number of shards of a key table. Each shard has its own lock.
	ShardCount = 16
	// keyRetention is the time after its reservation at which a key expires.
	keyRetention = 600 * clock.Second
	// maxKeysPerShard is the maximum number of keys in one shard.
	maxKeysPerShard = 1 << 16
)

// IdempotencyKey is the entry of a key table for one caller's key.
type IdempotencyKey struct {
	Name string
	// Number identifies the request that reserved the key.
	Number     uint64
	ReservedAt clock.Microseconds
	// Outcome is the outcome of the request, empty while the request runs.
	Outcome Outcome
	// Replicated is set once this router has asked the control plane to reserve the key.
	Replicated bool
}

type keyShard struct {
	lock sync.Mutex
	keys map[string]*IdempotencyKey
	// expiryQueue holds the keys in the order of their reservation. Released keys stay in it until
	// they expire.
	expiryQueue deque.Deque[*IdempotencyKey]
	// reservationCount is the number of reservations that were ever made in this shard.
	reservationCount uint64
}

// expire removes the keys whose retention time has passed.
func (k *keyShard) expire(now clock.Microseconds) {
	for k.expiryQueue.Len() > 0 && now-k.expiryQueue.Front().ReservedAt >= keyRetention {
		oldest := k.expiryQueue.PopFront()
		if k.keys[oldest.Name] == oldest {
			delete(k.keys, oldest.Name)
		}
	}
}

// KeyTable stores the idempotency keys of callers at one router, with the outcomes of their
// requests. The retention time and the number of keys are limited. It is safe for concurrent use.
//
// KeyTable is sharded like idempotency.Store, the table of the control plane. That table stores which
// request reserved a key but not how the request ended, so that the two share only the locking scheme.
type KeyTable struct {
	seed            maphash.Seed
	shards          [ShardCount]keyShard
	maxKeysPerShard int
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable {
	keys := &KeyTable{seed: maphash.MakeSeed(), maxKeysPerShard: maxKeysPerShard}
	for index := range keys.shards {
		keys.shards[index].keys = map[string]*IdempotencyKey{}
	}
	return keys
}

func (k *KeyTable) shardIndex(name string) uint64 { return maphash.String(k.seed, name) % ShardCount }

// ReservationResult is the result of the reservation of a key.
type ReservationResult int

const (
	// KeyReserved means that the key is now reserved for the new request.
	KeyReserved ReservationResult = iota
	// KeyConflict means that the key was already reserved for an earlier request.
	KeyConflict
	// KeyTableFull means that the key is not in the table, and its shard is full.
	KeyTableFull
)

// KeyReservation describes the result of Reserve.
type KeyReservation struct {
	Result ReservationResult
	// Number is the number of the new request. It is set only with KeyReserved.
	Number uint64
	// Earlier is the existing entry of the key. It is set only with KeyConflict.
	Earlier IdempotencyKey
}

// Reserve reserves a key for a new request. If the key's shard is full, Reserve fails rather than
// remove another key before that key expires.
func (k *KeyTable) Reserve(now clock.Microseconds, name string) KeyReservation {
	index := k.shardIndex(name)
	shard := &k.shards[index]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.expire(now)
	if existing, ok := shard.keys[name]; ok {
		return KeyReservation{Result: KeyConflict, Earlier: *existing}
	}
	if len(shard.keys) >= k.maxKeysPerShard {
		return KeyReservation{Result: KeyTableFull}
	}
	shard.reservationCount++
	reserved := &IdempotencyKey{Name: name, Number: shard.reservationCount*ShardCount + index, ReservedAt: now}
	shard.keys[name] = reserved
	shard.expiryQueue.PushBack(reserved)
	return KeyReservation{Result: KeyReserved, Number: reserved.Number}
}

// update calls apply for a key if the key is still reserved for the request with the given number.
func (k *KeyTable) update(name string, number uint64, apply func(*keyShard, *IdempotencyKey)) {
	shard := &k.shards[k.shardIndex(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, ok := shard.keys[name]; ok && existing.Number == number {
		apply(shard, existing)
	}
}

// SetReplicated records that the control plane was asked to reserve the key.
func (k *KeyTable) SetReplicated(name string, number uint64) {
	k.update(name, number, func(_ *keyShard, key *IdempotencyKey) { key.Replicated = true })
}

// Complete records the outcome of a request. It releases the key if the request is proven not to have
// run.
func (k *KeyTable) Complete(name string, number uint64, outcome Outcome) {
	k.update(name, number, func(shard *keyShard, key *IdempotencyKey) {
		key.Outcome = outcome
		if outcome == OutcomeNotRun {
			delete(shard.keys, name)
		}
	})
}

// Lookup returns the entry of a key. It reports false if the key is not in the table.
func (k *KeyTable) Lookup(name string) (IdempotencyKey, bool) {
	shard := &k.shards[k.shardIndex(name)]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, ok := shard.keys[name]; ok {
		return *existing, true
	}
	return IdempotencyKey{}, false
}

// Count returns the number of keys, including expired keys that were not removed yet.
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

// NextExpiry returns the time until the next key expires. It returns the retention time if there is
// none.
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

// Replicated returns the keys that the control plane was asked to reserve.
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
