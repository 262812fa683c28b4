package httpapi

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

const (
	// configShard is the shard with the configuration, which has no reservations.
	configShard = 0
	// restoreTimeout bounds the restoring of reservations at one member.
	restoreTimeout = clock.Second
)

// RestoreReservations tells a member that has lost its reservations which keys it has reserved for
// this router, once for each incarnation of the member's reservation table.
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

// replicatedClaims are the claims of all keys that the control plane has reserved for this router.
func (h *Handler) replicatedClaims() []idempotency.Claim {
	var claims []idempotency.Claim
	now := h.clock.Now()
	for _, key := range h.idempotencyKeys.Replicated() {
		claim := h.claimOf(key.Name, key.Number)
		claim.Age = now - key.ReservedAt
		claims = append(claims, claim)
	}
	return claims
}

// isRestored reports whether this incarnation of a member's reservation table has been told.
func (s *senderTable) isRestored(member shardMember, incarnation uint64) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.restored[member] == incarnation
}

// setRestored notes that this incarnation of a member's reservation table has been told.
func (s *senderTable) setRestored(member shardMember, incarnation uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.restored[member] = incarnation
}
