package controlapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/idempotency"
)

// ReservationsPath is the path of calls with a ReservationsRequest.
const ReservationsPath = "/core/claims"

// ReservationTTL is the lifetime of a reservation. It is longer than the time within which the same key may be sent
// again.
const ReservationTTL = 10 * 60 * clock.Second

// ReservationsRequest is a batch of reservations and releases by one router.
type ReservationsRequest struct {
	// Part is the index of the shard.
	Part int
	// Steps contains the reservations and releases in the order in which they are applied.
	Steps []ReservationStep
	// Holding contains the reservations that the router holds, for a slot that has lost them.
	Holding []idempotency.Claim
}

// ReservationStep reserves a key, or releases it if Release is set.
type ReservationStep struct {
	idempotency.Claim
	Release bool
}

// ReservationsResponse is the response to a ReservationsRequest.
type ReservationsResponse struct {
	// Slot is -1 if this server has no slot that makes reservations.
	Slot  int
	Epoch uint64
	// Verdicts contains a verdict for each step.
	Verdicts []idempotency.Verdict
	// Holders contains an element for each step: the reservation in force if the step was rejected because of it.
	Holders []idempotency.Claim
}
