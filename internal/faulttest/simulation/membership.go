package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// membershipRequestInterval is how often a learner asks to become a member, as in the daemons.
const membershipRequestInterval = 500 * clock.Millisecond

// restartIfRemoved has a server that was removed from the membership start again as a learner.
func (s *Server) restartIfRemoved() {
	if s.replica.Removed() {
		s.restartAsLearner(s.replica.Membership())
	}
}

// restartAsLearner begins a new incarnation as a learner that knows a membership.
func (s *Server) restartAsLearner(membership consensus.Membership) {
	s.unsyncedRecords = nil
	s.pendingWrites = nil
	s.syncing = false
	history := *s.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	replicaConfig := s.replica.Config
	s.incarnation++
	replicaConfig.Incarnation = s.incarnation
	replicaConfig.InitialMembership = membership
	s.stateMachine = s.cluster.newStateMachine()
	s.wakePending = false
	clear(s.pendingProposals)
	replica, output := consensus.StartLearner(replicaConfig, s.stateMachine, history, s.LocalTime())
	s.replica = replica
	s.handleOutput(output)
	s.requestMembership(s.incarnation)
}

// requestMembership has an incarnation ask all others periodically: to become a member if it is a
// learner, and for their membership while it hears no leader, which may have removed it.
func (s *Server) requestMembership(incarnation uint64) {
	s.cluster.After(membershipRequestInterval, func() {
		s.runInIncarnation(incarnation, func() {
			switch {
			case s.replica.IsLearner():
				s.requestAddition()
			case s.replica.MembershipUncertain(s.LocalTime()) && !s.replica.Recovering():
				s.queryMembership(incarnation)
			}
			if s.incarnation == incarnation {
				s.requestMembership(incarnation)
			}
		})
	})
}

// requestAddition asks all others to add this server as a member.
func (s *Server) requestAddition() {
	member := s.replica.LocalMember
	for _, other := range s.cluster.Servers {
		s.cluster.Send(s.slot, other.slot, func() {
			other.runInIncarnation(other.incarnation, func() { other.addMember(s.slot, member) })
		})
	}
}

// queryMembership asks all others for their membership.
func (s *Server) queryMembership(incarnation uint64) {
	for _, other := range s.cluster.Servers {
		s.cluster.Send(s.slot, other.slot, func() {
			other.runInIncarnation(other.incarnation, func() {
				membership := other.replica.Membership()
				s.cluster.Send(other.slot, s.slot, func() {
					s.runInIncarnation(incarnation, func() { s.handleMembership(membership) })
				})
			})
		})
	}
}

// handleMembership restarts a server as a learner if it is no member by a later membership.
func (s *Server) handleMembership(membership consensus.Membership) {
	isLater := membership.Epoch > s.replica.Membership().Epoch
	isRemoved := membership.Slot(s.replica.LocalMember) < 0
	if isLater && isRemoved && !s.replica.IsLearner() {
		s.restartAsLearner(membership)
		s.armWakeTimer()
	}
}

// addMember has the server restore a member, or add it as a learner to a slot.
func (s *Server) addMember(slot int, member consensus.Member) {
	membership := s.replica.Membership()
	if memberSlot := membership.Slot(member); memberSlot >= 0 {
		s.handleOutput(s.replica.RestoreMember(s.LocalTime(), memberSlot, member))
		s.armWakeTimer()
		return
	}
	s.handleOutput(s.replica.AddLearner(s.LocalTime(), consensus.LearnerRequest{
		Slot:       slot,
		Daemon:     member,
		Promotable: membership.Members[slot].Vacant(),
	}))
	s.armWakeTimer()
}
