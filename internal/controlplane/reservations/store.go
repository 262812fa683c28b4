package reservations

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
)

// maxReservations limits the reservations at a slot.
const maxReservations = 1 << 14

// Store has the reservations of one-shot keys at one slot of a shard, in memory.
type Store struct {
	*idempotency.Store
	// incarnation tells this store from earlier ones of the same slot.
	incarnation uint64

	// lock guards recoveryGate, which tells whether the reservations of an earlier store are known, so
	// that this one may make new ones.
	lock         sync.Mutex
	recoveryGate *idempotency.RecoveryGate
}

// NewStore returns a store that knows no reservations. Its owner may replay those of its log before use.
func NewStore(incarnation uint64, now clock.Microseconds, slots, slot int) *Store {
	return &Store{
		Store:        idempotency.NewStore(controlapi.ReservationTTL, maxReservations),
		incarnation:  incarnation,
		recoveryGate: idempotency.NewRecoveryGate(now, slots, slot),
	}
}

// Incarnation tells this store from earlier ones of the same slot.
func (s *Store) Incarnation() uint64 { return s.incarnation }

// IsComplete tells whether the store may make new reservations.
func (s *Store) IsComplete(now clock.Microseconds) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.recoveryGate.Ready(now)
}

// isQuiescent tells whether other slots may be copied from now.
func (s *Store) isQuiescent(now clock.Microseconds) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.recoveryGate.IsQuiescent(now)
}

func (s *Store) observeRequestTimeout(longest clock.Microseconds) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recoveryGate.ObserveRequestTimeout(longest)
}

// expectsRequests tells whether the configuration allows one-shot requests, as far as it is known here.
func (s *Store) expectsRequests() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.recoveryGate.ExpectsRequests()
}

// recordImport notes that all reservations of another slot's store were merged in a copy that began at
// the given time.
func (s *Store) recordImport(startedAt clock.Microseconds, slot int, incarnation uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recoveryGate.RecordImport(startedAt, slot, incarnation)
}

// merge takes over reservations that were made elsewhere.
func (s *Store) merge(now clock.Microseconds, reservations []idempotency.Claim) {
	for _, reservation := range reservations {
		s.Import(now, reservation)
	}
}
