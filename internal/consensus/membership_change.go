package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

// maxCatchUpLag is by how many entries a slot that has caught up may be behind.
const maxCatchUpLag = 16

// canChangeMembership reports whether this leader may propose a membership: one change at a time,
// and not before a majority knows all that is committed.
func (r *Replica) canChangeMembership() bool {
	return r.IsLeader() &&
		r.membership.Epoch == r.appliedMembership.Epoch &&
		r.leadership.quorumCommitIndex >= r.commitIndex
}

func (r *Replica) proposeMembership(now clock.Microseconds, membership Membership) {
	r.appendEntry(MembershipData(membership))
	r.refreshMembership()
	r.replicate(now)
}

// RecordMemberIdentity has a leader write identity and name of a member, as heard at its address,
// into the membership, so that another daemon may replace it by that name. It proposes one change
// at most.
func (r *Replica) RecordMemberIdentity(now clock.Microseconds) Output {
	if !r.canChangeMembership() {
		return Output{}
	}
	for slot, member := range r.membership.Members {
		observed := r.leadership.followers[slot].member
		if observed.Name == "" || observed.Address != member.Address {
			continue
		}
		if member.Name == "" || member.Identity != observed.Identity {
			r.proposeMembership(now, r.membership.withMember(slot, observed))
			return r.takeOutput()
		}
	}
	return Output{}
}

// SinceLastContact returns for how long the daemon of a slot has not answered this leader.
func (r *Replica) SinceLastContact(now clock.Microseconds, slot int) clock.Microseconds {
	return now - r.leadership.followers[slot].lastContact
}

// CaughtUp reports whether a slot stores about all that is committed, as far as this leader knows.
func (r *Replica) CaughtUp(slot int) bool {
	return slot == r.Self || r.hasCaughtUp(&r.leadership.followers[slot])
}

func (r *Replica) hasCaughtUp(peer *progress) bool {
	return peer.matchIndex+maxCatchUpLag >= r.commitIndex
}

// MembershipUncertain reports whether this replica has too little contact to know that it still
// holds its slot: a leader with a majority, any other replica with a leader that sends it entries.
func (r *Replica) MembershipUncertain(now clock.Microseconds) bool {
	if r.role != roleLeader {
		leader, _ := r.election.Leader()
		return leader == election.NoLeader || leader == r.Self || !r.upToDate || r.leaderTimedOut(now)
	}
	reachable := 0
	for slot := range r.leadership.followers {
		if r.SinceLastContact(now, slot) < r.LeaseDuration {
			reachable++
		}
	}
	return reachable < r.majority()
}

// ReplaceMember has a leader give a slot to a daemon that has not caught up, and reports whether a
// change was proposed. Daemons use AddLearner; the model checker also gives slots to empty ones.
func (r *Replica) ReplaceMember(
	now clock.Microseconds, slot int, daemon Member, contactTimeout clock.Microseconds,
) (bool, Output) {
	if slot == r.Self || slot < 0 || slot >= r.Slots || r.membership.Slot(daemon) >= 0 {
		return false, Output{}
	}
	return r.replaceMember(now, slot, daemon, contactTimeout), r.takeOutput()
}

// replaceMember gives a slot to another daemon, in two changes: the first vacates the slot, the
// second, in a later call, gives it away. So the majorities of each two successive memberships
// overlap. It reports whether a change was proposed, which needs a majority of other members that
// have answered within the timeout.
func (r *Replica) replaceMember(
	now clock.Microseconds, slot int, daemon Member, contactTimeout clock.Microseconds,
) bool {
	if !r.canChangeMembership() || r.reachableWithout(now, slot, contactTimeout) < r.majority() {
		return false
	}
	member := Member{}
	if r.membership.Members[slot].Vacant() {
		member = daemon
	}
	peer := r.newProgress(now, daemon)
	if learner := r.leadership.learner; learner != nil && learner.member == daemon {
		peer.incarnation = learner.incarnation
	}
	r.leadership.followers[slot] = peer
	r.leadership.lease.Revoke(slot)
	r.proposeMembership(now, r.membership.withMember(slot, member))
	return true
}

// reachableWithout returns how many members besides that of one slot have answered within a
// timeout. This leader counts.
func (r *Replica) reachableWithout(now clock.Microseconds, slot int, timeout clock.Microseconds) int {
	reachable := 0
	for peer, member := range r.membership.Members {
		if peer == slot || member.Vacant() {
			continue
		}
		if peer == r.Self || r.SinceLastContact(now, peer) <= timeout {
			reachable++
		}
	}
	return reachable
}
