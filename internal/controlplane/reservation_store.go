package controlplane

import (
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
)

// maxReservations limits the reservations at a slot.
const maxReservations = 1 << 14

// reservationStore has the reservations of one-shot keys at one slot of a shard, in memory.
type reservationStore struct {
	*idempotency.Store
	// incarnation tells this store from earlier ones of the same slot.
	incarnation uint64

	// lock guards recoveryGate, which tells whether the reservations of an earlier store are known, so
	// that this one may make new ones.
	lock         sync.Mutex
	recoveryGate *idempotency.RecoveryGate
}

func newReservationStore(incarnation uint64, now clock.Microseconds, slots, slot int) *reservationStore {
	return &reservationStore{
		Store:        idempotency.NewStore(controlapi.ReservationTTL, maxReservations),
		incarnation:  incarnation,
		recoveryGate: idempotency.NewRecoveryGate(now, slots, slot),
	}
}

// isComplete tells whether the store may make new reservations.
func (r *reservationStore) isComplete(now clock.Microseconds) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.recoveryGate.Ready(now)
}

// isQuiescent tells whether other slots may be copied from now.
func (r *reservationStore) isQuiescent(now clock.Microseconds) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.recoveryGate.IsQuiescent(now)
}

func (r *reservationStore) observeRequestTimeout(longest clock.Microseconds) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.recoveryGate.ObserveRequestTimeout(longest)
}

// recordImport notes that all reservations of another slot's store were merged in a copy that began at
// the given time.
func (r *reservationStore) recordImport(startedAt clock.Microseconds, slot int, incarnation uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.recoveryGate.RecordImport(startedAt, slot, incarnation)
}

// merge takes over reservations that were made elsewhere.
func (r *reservationStore) merge(now clock.Microseconds, reservations []idempotency.Claim) {
	for _, reservation := range reservations {
		r.Import(now, reservation)
	}
}
