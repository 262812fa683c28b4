package idempotency

import (
	"hash/fnv"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

// ShardCount is the number of independently locked shards of a store.
const ShardCount = 16

// RequestID identifies a request that asks for a key: its number at one incarnation of a router.
type RequestID struct {
	Life   uint64
	Number uint64
}

// Precedes orders the requests for one key. Of those that split the replicas the first wins.
func (r RequestID) Precedes(other RequestID) bool {
	return r.Life < other.Life || r.Life == other.Life && r.Number < other.Number
}

// Claim is a reservation of a key, or the request for one.
type Claim struct {
	Key string
	// By is the request that the key is reserved for.
	By RequestID
	// Address is where the outcome of that request can be asked for.
	Address string
	// Age is how long ago the key was reserved. It is set only in messages.
	Age clock.Microseconds
}

// Verdict is the answer of one replica to a request for a key.
type Verdict uint8

// The verdicts.
const (
	// VerdictAbstained is the answer of a replica that is recovering.
	VerdictAbstained Verdict = iota
	// VerdictReserved means that the key is reserved for the request.
	VerdictReserved
	// VerdictConflict means that the key is reserved for another request.
	VerdictConflict
	// VerdictFull means that the store takes no new reservations.
	VerdictFull
)

type storedReservation struct {
	Claim
	reservedAt clock.Microseconds
}

// expiryEntry stands in a shard's expiry queue for each reservation, also for a released one.
type expiryEntry struct {
	key        string
	owner      RequestID
	reservedAt clock.Microseconds
}

type storeShard struct {
	lock         sync.Mutex
	reservations map[string]storedReservation
	// expiryQueue is in the order of insertion.
	expiryQueue deque.Deque[expiryEntry]
}

// Store holds the reservations of one replica. A reservation ends only by a release of its
// own request or by expiry; a full store takes no new ones. It is safe for concurrent use.
type Store struct {
	retention   clock.Microseconds
	maxPerShard int
	shards      [ShardCount]storeShard
}

// NewStore returns a store that keeps reservations for the retention time, and at most so
// many in each shard.
func NewStore(retention clock.Microseconds, maxPerShard int) *Store {
	return &Store{retention: retention, maxPerShard: maxPerShard}
}

func (s *Store) shardFor(key string) *storeShard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // A hash never fails to write.
	return &s.shards[hash.Sum32()%ShardCount]
}

// expire removes the reservations that are older than the retention time.
func (s *storeShard) expire(now, retention clock.Microseconds) {
	for s.expiryQueue.Len() > 0 && now-s.expiryQueue.Front().reservedAt >= retention {
		oldest := s.expiryQueue.PopFront()
		stored, known := s.reservations[oldest.key]
		if known && stored.By == oldest.owner {
			delete(s.reservations, oldest.key)
		}
	}
}

// Reserve reserves a key unless another request has it. It also returns the reservation that
// stands, also on a conflict.
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

// Import adds a reservation that was made elsewhere, even to a full store. One that stands
// is kept.
func (s *Store) Import(now clock.Microseconds, reservation Claim) {
	shard := s.shardFor(reservation.Key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, known := shard.reservations[reservation.Key]; !known {
		shard.store(now-reservation.Age, reservation)
	}
}

func (s *storeShard) store(reservedAt clock.Microseconds, reservation Claim) {
	if s.reservations == nil {
		s.reservations = map[string]storedReservation{}
	}
	s.reservations[reservation.Key] = storedReservation{reservation, reservedAt}
	s.expiryQueue.PushBack(expiryEntry{reservation.Key, reservation.By, reservedAt})
}

// Release ends the reservation of a key if the owner has it. A late release doesn't end the
// reservation of another request.
func (s *Store) Release(key string, owner RequestID) {
	shard := s.shardFor(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if stored, known := shard.reservations[key]; known && stored.By == owner {
		delete(shard.reservations, key)
	}
}

// ListReservations returns the reservations of one shard, with their ages, for a replica
// that is recovering.
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

// Count returns the number of reservations, also of those due to expire.
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
