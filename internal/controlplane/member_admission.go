package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/transport"
)

// admitMember gives a slot to a server that has none, if this one leads the shard. A member that is
// replaced must have been silent for the replacement delay, unless the request overrides that.
func (r *shardReplica) admitMember(ctx context.Context, request JoinRequest) {
	replica := r.replica
	if replica == nil || !replica.IsLeader() || request.Daemon.Identity == "" || request.Daemon.Address == "" {
		return
	}
	membership := replica.Membership()
	now := r.Clock.Now()
	if currentSlot := membership.Slot(request.Daemon); currentSlot >= 0 {
		r.processOutput(ctx, replica.RestoreMember(now, currentSlot, request.Daemon))
		return
	}
	slot := r.requestedSlot(now, membership, request)
	if slot == noSlot {
		return
	}
	member := membership.Seats[slot]
	draining := request.Reserve && r.server.zoneDraining(member.Hall)
	eligible := member.Vacant() || request.Override || draining ||
		replica.SinceLastContact(now, slot) >= r.server.replacementDelay(request)
	r.processOutput(ctx, replica.AddLearner(now, consensus.LearnerRequest{
		Slot:       slot,
		Daemon:     request.Daemon,
		Promotable: eligible,
	}))
}

// requestedSlot returns the slot that a request is about: for a standby any replaceable one, else the
// last one that is vacant or has the member to be replaced.
func (r *shardReplica) requestedSlot(now clock.Microseconds, membership consensus.Membership, request JoinRequest) int {
	if request.Reserve {
		if r.server.zoneDraining(request.Daemon.Hall) {
			return noSlot
		}
		return replaceableSlot(r.slotStates(now, membership), request.Daemon.Hall)
	}
	slot := noSlot
	for candidate, member := range membership.Seats {
		if member.Vacant() || member.Name == request.Replaces {
			slot = candidate
		}
	}
	return slot
}

func (r *shardReplica) slotStates(now clock.Microseconds, membership consensus.Membership) []slotState {
	slots := make([]slotState, len(membership.Seats))
	for slot, member := range membership.Seats {
		slots[slot] = slotState{
			member:    member,
			isLeader:  slot == r.replica.Self,
			silentFor: r.replica.SinceLastContact(now, slot),
			caughtUp:  r.replica.CaughtUp(slot),
			draining:  r.server.zoneDraining(member.Hall),
		}
	}
	return slots
}

// replacementDelay is how long a member must be silent until the sender of the request may replace it.
func (s *Server) replacementDelay(request JoinRequest) clock.Microseconds {
	if request.Reserve {
		return min(standbyReplacementDelay, s.LeaseDuration())
	}
	return s.LeaseDuration()
}

func (s *Server) registerJoinHandler() {
	transport.Handle(s.internalTransport, joinPath, func(
		ctx context.Context, request *JoinRequest,
	) (*MembershipResponse, error) {
		return s.handleJoin(ctx, request), nil
	})
}

func (s *Server) handleJoin(ctx context.Context, request *JoinRequest) *MembershipResponse {
	response := &MembershipResponse{Parts: make([]consensus.Membership, len(s.shards))}
	for index, shard := range s.shards {
		var membership consensus.Membership
		answered := shard.runInLoop(ctx, func() {
			// What follows from the admission outlives this call.
			shard.admitMember(s.runContext, *request)
			membership = *shard.membership.Load()
		})
		if answered {
			response.Parts[index] = membership
		}
	}
	return response
}
