// Package idempotency keeps each one-shot key to one claimant: a seat's registry of claims,
// the rebuilding of a seat that has forgotten them, and the count of a majority.
package idempotency

import (
	"hash/fnv"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

// ShardCount is how many shares a registry has, each under its own lock.
const ShardCount = 16

// RequestID is a claimant: one request at one life of a router.
type RequestID struct {
	Life   uint64
	Number uint64
}

// Precedes orders claimants of one key: of those that split the seats the least wins.
func (r RequestID) Precedes(other RequestID) bool {
	return r.Life < other.Life || r.Life == other.Life && r.Number < other.Number
}

// Claim is a key with who has it, and where to ask what became of it.
type Claim struct {
	Key     string
	By      RequestID
	Address string
	// Age is how long ago it was granted, when it travels.
	Age clock.Microseconds
}

// Verdict is a seat's answer to one claim.
type Verdict uint8

// The verdicts. A seat that has forgotten abstains.
const (
	VerdictAbstained Verdict = iota
	VerdictReserved
	VerdictConflict
	VerdictFull
)

type storedReservation struct {
	Claim
	grantedAt clock.Microseconds
}

type expiryEntry struct {
	key       string
	owner     RequestID
	grantedAt clock.Microseconds
}

type storeShard struct {
	lock         sync.Mutex
	reservations map[string]storedReservation
	expiryQueue  deque.Deque[expiryEntry]
}

// Store is what one seat has granted. A claim is forgotten only by a release of its
// own claimant or by time; a full registry takes no new ones.
type Store struct {
	retention   clock.Microseconds
	maxPerShard int
	shards      [ShardCount]storeShard
}

// NewStore keeps claims for a span, and so many in each share.
func NewStore(retention clock.Microseconds, maxPerShard int) *Store {
	return &Store{retention: retention, maxPerShard: maxPerShard}
}

func (s *Store) shardFor(key string) *storeShard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return &s.shards[hash.Sum32()%ShardCount]
}

func (s *storeShard) expire(now, retention clock.Microseconds) {
	for s.expiryQueue.Len() > 0 && now-s.expiryQueue.Front().grantedAt >= retention {
		oldest := s.expiryQueue.PopFront()
		if stored, known := s.reservations[oldest.key]; known && stored.By == oldest.owner {
			delete(s.reservations, oldest.key)
		}
	}
}

// Reserve grants a key that nobody else has. The claim that stands is answered too.
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

// Import takes over a claim that was granted elsewhere, however full the registry is.
func (s *Store) Import(now clock.Microseconds, reservation Claim) {
	shard := s.shardFor(reservation.Key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, known := shard.reservations[reservation.Key]; !known {
		shard.store(now-reservation.Age, reservation)
	}
}

func (s *storeShard) store(grantedAt clock.Microseconds, reservation Claim) {
	if s.reservations == nil {
		s.reservations = map[string]storedReservation{}
	}
	s.reservations[reservation.Key] = storedReservation{reservation, grantedAt}
	s.expiryQueue.PushBack(expiryEntry{reservation.Key, reservation.By, grantedAt})
}

// Release gives a key back, if this claimant has it: its request is proved not to have
// run. One that comes late can't free another's claim.
func (s *Store) Release(key string, owner RequestID) {
	shard := s.shardFor(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if stored, known := shard.reservations[key]; known && stored.By == owner {
		delete(shard.reservations, key)
	}
}

// ListReservations is all that one share holds, for a seat that has forgotten.
func (s *Store) ListReservations(now clock.Microseconds, index int) []Claim {
	shard := &s.shards[index%ShardCount]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.expire(now, s.retention)
	reservations := make([]Claim, 0, len(shard.reservations))
	for _, stored := range shard.reservations {
		stored.Claim.Age = now - stored.grantedAt
		reservations = append(reservations, stored.Claim)
	}
	return reservations
}

// Count is how many claims are held.
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
