package controlapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/idempotency"
)

// ReservationsPath is the path of calls with ReservationsRequest.
const ReservationsPath = "/core/claims"

// ReservationTTL is how long a reservation lasts: longer than the same key may be sent again.
const ReservationTTL = 10 * 60 * clock.Second

// ReservationsRequest is a batch of reservations and releases of one router, in their order, and of the
// reservations that it holds, for a slot that has forgotten them.
type ReservationsRequest struct {
	Part    int
	Steps   []ReservationStep
	Holding []idempotency.Claim
}

// ReservationStep reserves a key or releases it.
type ReservationStep struct {
	idempotency.Claim
	Release bool
}

// ReservationsResponse has a verdict for each step, and the reservation in force where it was rejected.
// The slot is -1 if this server has none that makes reservations.
type ReservationsResponse struct {
	Slot     int
	Epoch    uint64
	Verdicts []idempotency.Verdict
	Holders  []idempotency.Claim
}
