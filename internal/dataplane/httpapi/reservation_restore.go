package httpapi

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	// configShard is the index of the shard with the configuration, which has no reservations.
	configShard = 0
	// restoreTimeout is the timeout of a call that restores reservations at a member.
	restoreTimeout = clock.Second
)

// RestoreReservations sends this router's claims to a member that has lost its reservations. It does so
// for each shard whose head in the response says so, once per incarnation of the member's reservation
// store.
func (h *Handler) RestoreReservations(parent context.Context, address string, response *controlapi.HeadsResponse) {
	for _, head := range response.Heads {
		member := shardMember{head.Shard, address}
		if head.Shard == configShard || !head.Forgetful || h.senders.isRestored(member, head.ReservationStoreIncarnation) {
			continue
		}
		request := &controlapi.ReservationsRequest{Part: head.Shard, Holding: h.replicatedClaims()}
		target := transport.Target{Address: address, Procedure: controlapi.ReservationsPath, Timeout: restoreTimeout}
		_, err := transport.Call[controlapi.ReservationsRequest, controlapi.ReservationsResponse](
			parent, h.internal, target, request,
		)
		if err == nil {
			h.senders.setRestored(member, head.ReservationStoreIncarnation)
		}
	}
}

// replicatedClaims returns the claims on all keys that this router has asked the control plane to
// reserve.
func (h *Handler) replicatedClaims() []idempotency.Claim {
	var claims []idempotency.Claim
	now := h.clock.Now()
	for _, key := range h.idempotencyKeys.Replicated() {
		claim := h.newClaim(key.Name, key.Number)
		claim.Age = now - key.ReservedAt
		claims = append(claims, claim)
	}
	return claims
}

// isRestored reports whether this router's claims were sent to this incarnation of a member's
// reservation store.
func (s *senderTable) isRestored(member shardMember, incarnation uint64) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.restored[member] == incarnation
}

// setRestored records that this router's claims were sent to this incarnation of a member's reservation
// store.
func (s *senderTable) setRestored(member shardMember, incarnation uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.restored[member] = incarnation
}
