package idempotency

import (
	"hash/fnv"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

// ShardCount is the number of independently locked shards of a store.
const ShardCount = 16

// RequestID identifies a request that asks for a key. Life is the incarnation of the router
// that received the request, and Number is the request's number within that incarnation.
type RequestID struct {
	Life   uint64
	Number uint64
}

// Precedes reports whether r comes before other in the order of the requests for one key. If
// concurrent requests split the replicas so that none has a majority, the first one wins.
func (r RequestID) Precedes(other RequestID) bool {
	return r.Life < other.Life || r.Life == other.Life && r.Number < other.Number
}

// Claim is a reservation of a key, or a request to reserve a key.
type Claim struct {
	Key string
	// By identifies the request that the key is reserved for.
	By RequestID
	// Address is the address at which the outcome of that request can be queried.
	Address string
	// Age is the time since the key was reserved. It is set only in messages.
	Age clock.Microseconds
}

// Verdict is a replica's decision on a request for a key.
type Verdict uint8

// The verdicts.
const (
	// VerdictAbstained means that the replica is recovering and makes no decision.
	VerdictAbstained Verdict = iota
	// VerdictReserved means that the key is reserved for the request.
	VerdictReserved
	// VerdictConflict means that the key is reserved for another request.
	VerdictConflict
	// VerdictFull means that the store is full and accepts no new reservations.
	VerdictFull
)

type storedReservation struct {
	Claim
	reservedAt clock.Microseconds
}

// expiryEntry is the entry of a reservation in a shard's expiry queue. The entry of a released
// reservation stays in the queue until its expiry time.
type expiryEntry struct {
	key        string
	owner      RequestID
	reservedAt clock.Microseconds
}

type storeShard struct {
	lock         sync.Mutex
	reservations map[string]storedReservation
	// expiryQueue is in insertion order.
	expiryQueue deque.Deque[expiryEntry]
}

// Store holds the reservations of one replica. A reservation ends only when its own request
// releases it or when it expires, so a full store rejects new reservations rather than evict
// old ones. A Store is safe for concurrent use.
type Store struct {
	retention   clock.Microseconds
	maxPerShard int
	shards      [ShardCount]storeShard
}

// NewStore returns a store that keeps each reservation for the retention time and accepts new
// reservations in a shard while the shard has fewer than maxPerShard.
func NewStore(retention clock.Microseconds, maxPerShard int) *Store {
	return &Store{retention: retention, maxPerShard: maxPerShard}
}

func (s *Store) shardFor(key string) *storeShard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // Write of a hash.Hash never returns an error.
	return &s.shards[hash.Sum32()%ShardCount]
}

// expire removes the reservations that have reached the retention time. The caller holds the
// lock.
func (s *storeShard) expire(now, retention clock.Microseconds) {
	for s.expiryQueue.Len() > 0 && now-s.expiryQueue.Front().reservedAt >= retention {
		oldest := s.expiryQueue.PopFront()
		stored, known := s.reservations[oldest.key]
		if known && stored.By == oldest.owner {
			delete(s.reservations, oldest.key)
		}
	}
}

// Reserve reserves a key unless another request holds it. With VerdictReserved and
// VerdictConflict it also returns the current reservation of the key.
func (s *Store) Reserve(now clock.Microseconds, reservation Claim) (Verdict, Claim) {
	shard := s.shardFor(reservation.Key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.expire(now, s.retention)
	stored, known := shard.reservations[reservation.Key]
	switch {
	case known && stored.By != reservation.By:
		return VerdictConflict, stored.Claim
	case known:
		return VerdictReserved, stored.Claim
	case len(shard.reservations) >= s.maxPerShard:
		return VerdictFull, Claim{}
	}
	shard.store(now, reservation)
	return VerdictReserved, reservation
}

// Import adds a reservation that was made at another replica or in an earlier incarnation,
// even if the store is full. An existing reservation of the same key is kept.
func (s *Store) Import(now clock.Microseconds, reservation Claim) {
	shard := s.shardFor(reservation.Key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, known := shard.reservations[reservation.Key]; !known {
		shard.store(now-reservation.Age, reservation)
	}
}

// store adds a reservation to the map and the expiry queue. The caller holds the lock.
func (s *storeShard) store(reservedAt clock.Microseconds, reservation Claim) {
	if s.reservations == nil {
		s.reservations = map[string]storedReservation{}
	}
	s.reservations[reservation.Key] = storedReservation{reservation, reservedAt}
	s.expiryQueue.PushBack(expiryEntry{reservation.Key, reservation.By, reservedAt})
}

// Release ends the reservation of a key if it belongs to the owner. The check prevents a late
// release from ending the reservation of another request.
func (s *Store) Release(key string, owner RequestID) {
	shard := s.shardFor(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if stored, known := shard.reservations[key]; known && stored.By == owner {
		delete(shard.reservations, key)
	}
}

// ListReservations returns the reservations of the store shard with this index, with their
// ages, for a replica that is recovering.
func (s *Store) ListReservations(now clock.Microseconds, index int) []Claim {
	shard := &s.shards[index%ShardCount]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.expire(now, s.retention)
	reservations := make([]Claim, 0, len(shard.reservations))
	for _, stored := range shard.reservations {
		reservation := stored.Claim
		reservation.Age = now - stored.reservedAt
		reservations = append(reservations, reservation)
	}
	return reservations
}

// Count returns the number of reservations, including expired ones that are not removed yet.
func (s *Store) Count() int {
	count := 0
	for index := range s.shards {
		shard := &s.shards[index]
		shard.lock.Lock()
		count += len(shard.reservations)
		shard.lock.Unlock()
	}
	return count
}
