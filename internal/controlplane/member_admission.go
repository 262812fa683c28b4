package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/transport"
)

// admitMember gives a slot to a server that has none, if this one leads the shard. It must be called in the
// shard's loop. What follows from the admission outlives the call that asked for it.
func (s *Server) admitMember(shard *replication.ShardReplica, request JoinRequest) {
	if request.Daemon.Identity == "" || request.Daemon.Address == "" {
		return
	}
	shard.AdmitMember(s.runContext, request.Daemon, func(contacts []replication.SlotContact) replication.SlotChoice {
		return s.chooseSlot(s.slotStates(contacts), request)
	})
}

// chooseSlot returns the slot that a request is about. A member that is replaced must have been silent for
// the replacement delay, unless the request overrides that.
func (s *Server) chooseSlot(slots []slotState, request JoinRequest) replication.SlotChoice {
	slot := s.requestedSlot(slots, request)
	if slot == noSlot {
		return replication.SlotChoice{Slot: noSlot}
	}
	state := slots[slot]
	draining := request.Reserve && state.draining
	promotable := state.member.Vacant() || request.Override || draining ||
		state.silentFor >= s.replacementDelay(request)
	return replication.SlotChoice{Slot: slot, Promotable: promotable}
}

// requestedSlot returns the slot that a request is about: for a standby any replaceable one, else the
// last one that is vacant or has the member to be replaced.
func (s *Server) requestedSlot(slots []slotState, request JoinRequest) int {
	if request.Reserve {
		if s.zoneDraining(request.Daemon.Hall) {
			return noSlot
		}
		return replaceableSlot(slots, request.Daemon.Hall)
	}
	requested := noSlot
	for slot, state := range slots {
		if state.member.Vacant() || state.member.Name == request.Replaces {
			requested = slot
		}
	}
	return requested
}

func (s *Server) slotStates(contacts []replication.SlotContact) []slotState {
	slots := make([]slotState, len(contacts))
	for slot, contact := range contacts {
		slots[slot] = slotState{
			member:    contact.Member,
			isLeader:  contact.IsLeader,
			silentFor: contact.SilentFor,
			caughtUp:  contact.CaughtUp,
			draining:  s.zoneDraining(contact.Member.Hall),
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
		answered := shard.RunInLoop(ctx, func() {
			s.admitMember(shard, *request)
			membership = shard.Membership()
		})
		if answered {
			response.Parts[index] = membership
		}
	}
	return response
}
