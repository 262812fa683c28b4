package consensus

import "coursepass/internal/clock"

// Echo describes a replica in the transport's answer to a message for which RequestsEcho returns
// true. Its wire form is EchoWire.
type Echo struct {
	Shard, Slot int
	// PromisedTerm is the highest term that the slot had promised when it answered.
	PromisedTerm uint64
	// Recovering is set if the slot has no vote, because it does not know what it has promised.
	Recovering bool
}

// Echo returns the current echo of this replica.
func (r *Replica) Echo() Echo {
	return Echo{Shard: r.Shard, Slot: r.Self, PromisedTerm: r.PromisedTerm, Recovering: r.recovery != nil}
}

// ReceiveEcho handles the echo to a message that this replica sent at sentAt to the daemon at
// address. If that slot had promised no term above the present one, no later leader can have
// committed anything with the vote of that slot before the message was sent.
func (r *Replica) ReceiveEcho(now, sentAt clock.Microseconds, address string, echo Echo) Output {
	if !r.confirmsTerm(address, echo) {
		return Output{}
	}
	r.election.RecordAnswer(echo.Slot, sentAt)
	r.updateRole(now)
	return r.takeOutput()
}

// confirmsTerm reports whether an echo comes from the member of another slot, and shows no promise
// above the present term.
func (r *Replica) confirmsTerm(address string, echo Echo) bool {
	if echo.Slot < 0 || echo.Slot >= r.Slots || echo.Slot == r.Self || echo.Recovering || echo.Shard != r.Shard {
		return false
	}
	member := r.membership.Members[echo.Slot]
	if member.Vacant() || member.Address != address {
		return false
	}
	_, term := r.election.Leader()
	return echo.PromisedTerm <= term
}

// LeadershipConfirmedUntil returns the time until which this replica's contact with a majority
// allows it to act as leader, or 0 if it is not leader.
func (r *Replica) LeadershipConfirmedUntil(now clock.Microseconds) clock.Microseconds {
	if !r.IsLeader() {
		return 0
	}
	return r.election.ConfirmedUntil(now)
}

// LeadershipConfirmed reports whether this replica is leader and may act as leader now.
func (r *Replica) LeadershipConfirmed(now clock.Microseconds) bool {
	return r.IsLeader() && now < r.LeadershipConfirmedUntil(now)
}

// Isolated reports whether this replica knows that it lacks contact: no majority answers its PING
// messages, it is a leader without contact with a majority, or it is a follower to which the leader
// sends nothing. The last case occurs after the follower's slot was given to another daemon.
func (r *Replica) Isolated(now clock.Microseconds) bool {
	return r.election.Isolated() || r.IsLeader() && !r.LeadershipConfirmed(now) || r.leaderTimedOut(now)
}

// leaderTimedOut reports whether this replica is a follower that has received neither entries nor a
// heartbeat for longer than a lease duration, in which a leader sends several heartbeats.
func (r *Replica) leaderTimedOut(now clock.Microseconds) bool {
	return r.role == roleFollower && now-r.leaderContactAt > r.LeaseDuration
}
