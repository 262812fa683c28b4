package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

// maxCatchUpLag is the maximum number of committed entries that a slot may lack to count as caught
// up.
const maxCatchUpLag = 16

// canChangeMembership reports whether this leader may propose a membership change: there is at most
// one change at a time, and none before a majority knows all committed entries.
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

// RecordMemberIdentity makes a leader record the identity and name of a member in the membership,
// as reported by the daemon at the member's address, so that another daemon may replace the member
// by that name. Each call proposes at most one change.
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

// SinceLastContact returns the time since the daemon of a slot last answered this leader.
func (r *Replica) SinceLastContact(now clock.Microseconds, slot int) clock.Microseconds {
	return now - r.leadership.followers[slot].lastContact
}

// CaughtUp reports whether a slot is known to this leader to store all committed entries but at
// most maxCatchUpLag.
func (r *Replica) CaughtUp(slot int) bool {
	return slot == r.Self || r.hasCaughtUp(&r.leadership.followers[slot])
}

func (r *Replica) hasCaughtUp(peer *progress) bool {
	return peer.matchIndex+maxCatchUpLag >= r.commitIndex
}

// MembershipUncertain reports whether this replica has too little contact to know that it still
// holds its slot. A leader needs contact with a majority; any other replica needs contact with a
// leader that sends it entries.
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

// ReplaceMember makes a leader give a slot to a daemon that has not caught up, and reports whether
// it has proposed a change. Daemons use AddLearner instead; the model checker also gives slots to
// daemons with an empty disk.
func (r *Replica) ReplaceMember(
	now clock.Microseconds, slot int, daemon Member, contactTimeout clock.Microseconds,
) (bool, Output) {
	if slot == r.Self || slot < 0 || slot >= r.Slots || r.membership.Slot(daemon) >= 0 {
		return false, Output{}
	}
	return r.replaceMember(now, slot, daemon, contactTimeout), r.takeOutput()
}

// replaceMember gives a slot to another daemon in two membership changes: the first makes the slot
// vacant, and the second, in a later call, gives it to the daemon. This way the majorities of any
// two successive memberships overlap. replaceMember reports whether it has proposed a change. A
// change requires that a majority of members, without that of the slot, has answered within
// contactTimeout.
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

// reachableWithout returns the number of members other than that of a slot that have answered
// within a timeout and have caught up. It counts this leader. A member that lacks entries could not
// take the place of the one that loses its slot.
func (r *Replica) reachableWithout(now clock.Microseconds, slot int, timeout clock.Microseconds) int {
	reachable := 0
	for peer, member := range r.membership.Members {
		if peer == slot || member.Vacant() {
			continue
		}
		if peer == r.Self || r.SinceLastContact(now, peer) <= timeout && r.CaughtUp(peer) {
			reachable++
		}
	}
	return reachable
}
