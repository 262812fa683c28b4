package membership

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/transport"
)

// admitMember gives a slot to a server that has none, if this one leads the shard. It must be called in the
// shard's loop.
func (s *Service) admitMember(shard Shard, request JoinRequest) {
	if request.Member.Identity == "" || request.Member.Address == "" {
		return
	}
	shard.AdmitMember(request.Member, func(contacts []replication.SlotContact) replication.SlotChoice {
		return s.chooseSlot(s.slotStates(contacts), request)
	})
}

// chooseSlot returns the slot that a request is about. A member that is replaced must have been silent for
// the replacement delay, unless the request overrides that.
func (s *Service) chooseSlot(slots []slotState, request JoinRequest) replication.SlotChoice {
	slot := s.requestedSlot(slots, request)
	if slot == noSlot {
		return replication.SlotChoice{Slot: noSlot}
	}
	state := slots[slot]
	draining := request.Standby && state.draining
	promotable := state.member.Vacant() || request.Override || draining ||
		state.silentFor >= s.replacementDelay(request)
	return replication.SlotChoice{Slot: slot, Promotable: promotable}
}

// requestedSlot returns the slot that a request is about: for a standby any replaceable one, else the
// last one that is vacant or has the member to be replaced.
func (s *Service) requestedSlot(slots []slotState, request JoinRequest) int {
	if request.Standby {
		if s.options.ZoneDraining(request.Member.Zone) {
			return noSlot
		}
		return replaceableSlot(slots, request.Member.Zone)
	}
	requested := noSlot
	for slot, state := range slots {
		if state.member.Vacant() || state.member.Name == request.Replaces {
			requested = slot
		}
	}
	return requested
}

func (s *Service) slotStates(contacts []replication.SlotContact) []slotState {
	slots := make([]slotState, len(contacts))
	for slot, contact := range contacts {
		slots[slot] = slotState{
			member:    contact.Member,
			isLeader:  contact.IsLeader,
			silentFor: contact.SilentFor,
			caughtUp:  contact.CaughtUp,
			draining:  s.options.ZoneDraining(contact.Member.Zone),
		}
	}
	return slots
}

// replacementDelay is how long a member must be silent until the sender of the request may replace it.
func (s *Service) replacementDelay(request JoinRequest) clock.Microseconds {
	if request.Standby {
		return min(standbyReplacementDelay, s.options.LeaseDuration)
	}
	return s.options.LeaseDuration
}

func (s *Service) registerJoinHandler() {
	transport.Handle(s.options.Transport, JoinPath, func(
		ctx context.Context, request *JoinRequest,
	) (*MembershipResponse, error) {
		return s.handleJoin(ctx, request), nil
	})
}

func (s *Service) handleJoin(ctx context.Context, request *JoinRequest) *MembershipResponse {
	s.recordCandidate(request.Member)
	response := &MembershipResponse{Memberships: make([]consensus.Membership, len(s.options.Shards))}
	for index, shard := range s.options.Shards {
		var membership consensus.Membership
		answered := shard.RunInLoop(ctx, func() {
			s.admitMember(shard, *request)
			membership = shard.Membership()
		})
		if answered {
			response.Memberships[index] = membership
		}
	}
	return response
}
