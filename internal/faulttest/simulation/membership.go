package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// membershipRequestInterval is how often a core without a seat asks for one, as the daemons do.
const membershipRequestInterval = 500 * clock.Millisecond

// restartIfRemoved has a core that has lost its seat begin anew as a learner that asks for it.
func (s *Server) restartIfRemoved() {
	if s.replica.Removed() {
		s.restartAsLearner(s.replica.Membership())
	}
}

// restartAsLearner begins anew, as a learner that knows these bindings.
func (s *Server) restartAsLearner(membership consensus.Membership) {
	s.unsyncedRecords, s.pendingWrites, s.syncing = nil, nil, false
	history := *s.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	replicaConfig := s.replica.Config
	s.incarnation++
	replicaConfig.Incarnation, replicaConfig.InitialMembership = s.incarnation, membership
	s.stateMachine, s.wakePending = &AppendLog{}, false
	clear(s.pendingProposals)
	replica, output := consensus.StartLearner(replicaConfig, s.stateMachine, history, s.LocalTime())
	s.replica = replica
	s.handleOutput(output)
	s.requestMembership(s.incarnation)
}

// requestMembership has this life ask all others: for the vacant seat if it learns, and while it hears
// no leader for their bindings, which tell whether its seat is another's.
func (s *Server) requestMembership(incarnation uint64) {
	s.cluster.After(membershipRequestInterval, func() {
		s.runInIncarnation(incarnation, func() {
			learning, member := s.replica.IsLearner(), s.replica.LocalMember
			if learning || s.replica.MembershipUncertain(s.LocalTime()) && !s.replica.Recovering() {
				for _, other := range s.cluster.Servers {
					s.cluster.Send(s.slot, other.slot, func() {
						other.runInIncarnation(other.incarnation, func() {
							if learning {
								other.addMember(s.slot, member)
								return
							}
							membership := other.replica.Membership()
							s.cluster.Send(other.slot, s.slot, func() { s.runInIncarnation(incarnation, func() { s.handleMembership(membership) }) })
						})
					})
				}
			}
			if s.incarnation == incarnation {
				s.requestMembership(incarnation)
			}
		})
	})
}

// handleMembership ends a member whose seat is another's by later bindings.
func (s *Server) handleMembership(membership consensus.Membership) {
	if membership.Epoch > s.replica.Membership().Epoch && membership.Slot(s.replica.LocalMember) < 0 && !s.replica.IsLearner() {
		s.restartAsLearner(membership)
		s.armWakeTimer()
	}
}

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
		Promotable: membership.Seats[slot].Vacant(),
	}))
	s.armWakeTimer()
}
