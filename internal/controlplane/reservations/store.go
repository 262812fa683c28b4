package reservations

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
)

// maxReservations is the maximum number of reservations in the store of a slot.
const maxReservations = 1 << 14

// Store holds, in memory, the reservations of one-shot keys at one slot of a shard.
type Store struct {
	*idempotency.Store
	// incarnation distinguishes this store from earlier stores of the same slot.
	incarnation uint64

	// lock guards recoveryGate. The gate decides whether the reservations of earlier stores of the slot are known,
	// so that this store may make new reservations.
	lock         sync.Mutex
	recoveryGate *idempotency.RecoveryGate
}

// NewStore returns a store without reservations. Its owner may replay the reservations of its log into the store
// before the store is used.
func NewStore(incarnation uint64, now clock.Microseconds, slots, slot int) *Store {
	return &Store{
		Store:        idempotency.NewStore(controlapi.ReservationTTL, maxReservations),
		incarnation:  incarnation,
		recoveryGate: idempotency.NewRecoveryGate(now, slots, slot),
	}
}

// Incarnation returns the number that distinguishes this store from earlier stores of the same slot.
func (s *Store) Incarnation() uint64 { return s.incarnation }

// IsComplete reports whether the store may make new reservations.
func (s *Store) IsComplete(now clock.Microseconds) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.recoveryGate.Ready(now)
}

// isQuiescent reports whether the reservations of other slots may be copied now.
func (s *Store) isQuiescent(now clock.Microseconds) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.recoveryGate.IsQuiescent(now)
}

// observeRequestTimeout records the maximum time that a one-shot request may run.
func (s *Store) observeRequestTimeout(requestTimeout clock.Microseconds) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recoveryGate.ObserveRequestTimeout(requestTimeout)
}

// allowsOneShotRequests reports whether any configuration that this store has observed allows one-shot requests.
func (s *Store) allowsOneShotRequests() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.recoveryGate.ExpectsRequests()
}

// recordImport records that all reservations of another slot's store were merged in a copy that began at startedAt.
func (s *Store) recordImport(startedAt clock.Microseconds, slot int, incarnation uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recoveryGate.RecordImport(startedAt, slot, incarnation)
}

// merge imports reservations that other slots or routers hold.
func (s *Store) merge(now clock.Microseconds, reservations []idempotency.Claim) {
	for _, reservation := range reservations {
		s.Import(now, reservation)
	}
}
