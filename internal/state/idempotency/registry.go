// Package claim keeps each one-shot key to one claimant: a seat's registry of claims,
// the rebuilding of a seat that has forgotten them, and the count of a majority.
package claim

import (
	"hash/fnv"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/clock"
)

// Shards is how many shares a registry has, each under its own lock.
const Shards = 16

// Name is a claimant: one request at one life of a router.
type Name struct {
	Life   uint64
	Number uint64
}

// Precedes orders claimants of one key: of those that split the seats the least wins.
func (r Name) Precedes(other Name) bool {
	return r.Life < other.Life || r.Life == other.Life && r.Number < other.Number
}

// Claim is a key with who has it, and where to ask what became of it.
type Claim struct {
	Key     string
	By      Name
	Address string
	// Age is how long ago it was granted, when it travels.
	Age schedule.Microseconds
}

// Verdict is a seat's answer to one claim.
type Verdict uint8

// The verdicts. A seat that has forgotten abstains.
const (
	Abstained Verdict = iota
	Granted
	Taken
	Full
)

type held struct {
	Claim
	at schedule.Microseconds
}

type expiry struct {
	key string
	by  Name
	at  schedule.Microseconds
}

type share struct {
	lock  sync.Mutex
	held  map[string]held
	order deque.Deque[expiry]
}

// Registry is what one seat has granted. A claim is forgotten only by a release of its
// own claimant or by time; a full registry takes no new ones.
type Registry struct {
	keep   schedule.Microseconds
	most   int
	shares [Shards]share
}

// NewRegistry keeps claims for a span, and so many in each share.
func NewRegistry(keep schedule.Microseconds, most int) *Registry {
	return &Registry{keep: keep, most: most}
}

func (s *Registry) share(key string) *share {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return &s.shares[hash.Sum32()%Shards]
}

func (s *share) lapse(now, keep schedule.Microseconds) {
	for s.order.Len() > 0 && now-s.order.Front().at >= keep {
		oldest := s.order.PopFront()
		if found, known := s.held[oldest.key]; known && found.By == oldest.by {
			delete(s.held, oldest.key)
		}
	}
}

// Take grants a key that nobody else has. The claim that stands is answered too.
func (s *Registry) Take(now schedule.Microseconds, claim Claim) (Verdict, Claim) {
	share := s.share(claim.Key)
	share.lock.Lock()
	defer share.lock.Unlock()
	share.lapse(now, s.keep)
	found, known := share.held[claim.Key]
	switch {
	case known && found.By != claim.By:
		return Taken, found.Claim
	case known:
		return Granted, found.Claim
	case len(share.held) >= s.most:
		return Full, Claim{}
	}
	share.put(now, claim)
	return Granted, claim
}

// Keep takes over a claim that was granted elsewhere, however full the registry is.
func (s *Registry) Keep(now schedule.Microseconds, claim Claim) {
	share := s.share(claim.Key)
	share.lock.Lock()
	defer share.lock.Unlock()
	if _, known := share.held[claim.Key]; !known {
		share.put(now-claim.Age, claim)
	}
}

func (s *share) put(at schedule.Microseconds, claim Claim) {
	if s.held == nil {
		s.held = map[string]held{}
	}
	s.held[claim.Key] = held{claim, at}
	s.order.PushBack(expiry{claim.Key, claim.By, at})
}

// Release gives a key back, if this claimant has it: its request is proved not to have
// run. One that comes late can't free another's claim.
func (s *Registry) Release(key string, by Name) {
	share := s.share(key)
	share.lock.Lock()
	defer share.lock.Unlock()
	if found, known := share.held[key]; known && found.By == by {
		delete(share.held, key)
	}
}

// Copy is all that one share holds, for a seat that has forgotten.
func (s *Registry) Copy(now schedule.Microseconds, index int) []Claim {
	share := &s.shares[index%Shards]
	share.lock.Lock()
	defer share.lock.Unlock()
	share.lapse(now, s.keep)
	copies := make([]Claim, 0, len(share.held))
	for _, found := range share.held {
		found.Claim.Age = now - found.at
		copies = append(copies, found.Claim)
	}
	return copies
}

// Count is how many claims are held.
func (s *Registry) Count() int {
	count := 0
	for index := range s.shares {
		share := &s.shares[index]
		share.lock.Lock()
		count += len(share.held)
		share.lock.Unlock()
	}
	return count
}
