package membership

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/transport"
)

// admitMember assigns a slot to the server that sent a request, if this server leads the shard. It must be
// called in the shard's loop.
func (s *Service) admitMember(shard Shard, request JoinRequest) {
	if request.Member.Identity == "" || request.Member.Address == "" {
		return
	}
	shard.AdmitMember(request.Member, func(contacts []replication.SlotContact) replication.SlotChoice {
		return s.chooseSlot(s.slotStates(contacts), request)
	})
}

// chooseSlot returns the slot that a request applies to, and whether the server may become the member in the
// slot. The server may replace a member only if that member has been silent for the replacement delay, unless
// the request has Override set, or a standby replaces a member whose zone is being drained.
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

// requestedSlot returns the slot that a request applies to: any replaceable slot for a standby, otherwise the
// last slot that is vacant or held by the member to be replaced. It returns noSlot if there is none.
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

// replacementDelay returns how long a member must have been silent before the sender of the request may replace
// it.
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
		completed := shard.RunInLoop(ctx, func() {
			s.admitMember(shard, *request)
			membership = shard.Membership()
		})
		if completed {
			response.Memberships[index] = membership
		}
	}
	return response
}
