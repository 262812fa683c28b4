package consensus

import "coursepass/internal/clock"

// Echo is what a daemon shows of its replica in the transport's answer to a message for which
// RequestsEcho is true. Its wire form is EchoWire.
type Echo struct {
	Shard, Slot int
	// PromisedTerm is the highest term that the slot had promised when it answered.
	PromisedTerm uint64
	// Recovering is set if the slot has no vote: it does not know what it has promised.
	Recovering bool
}

// Echo returns the echo of this replica now.
func (r *Replica) Echo() Echo {
	return Echo{Shard: r.Shard, Slot: r.Self, PromisedTerm: r.PromisedTerm, Recovering: r.recovery != nil}
}

// ReceiveEcho handles the echo to a message that this replica sent at sentAt to the daemon at an
// address. A slot that had promised no term above the present one shows that no later leader can
// have committed anything, with its vote, before the message was sent.
func (r *Replica) ReceiveEcho(now, sentAt clock.Microseconds, address string, echo Echo) Output {
	if !r.confirmsTerm(address, echo) {
		return Output{}
	}
	r.election.RecordAnswer(echo.Slot, sentAt)
	r.updateRole(now)
	return r.takeOutput()
}

// confirmsTerm reports whether an echo is of the member of another slot, and shows no promise above
// the present term.
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

// LeadershipConfirmedUntil returns until when this replica may act as leader because of its contact
// with a majority; 0 if it is not leader.
func (r *Replica) LeadershipConfirmedUntil(now clock.Microseconds) clock.Microseconds {
	if !r.IsLeader() {
		return 0
	}
	return r.election.ConfirmedUntil(now)
}

// LeadershipConfirmed reports whether this replica is leader and may act as such now.
func (r *Replica) LeadershipConfirmed(now clock.Microseconds) bool {
	return r.IsLeader() && now < r.LeadershipConfirmedUntil(now)
}

// Isolated reports whether this replica knows that it lacks contact: no majority answers its PINGs,
// or it is a leader without contact with a majority, or a follower whose leader sends it nothing,
// as happens after its slot was given away.
func (r *Replica) Isolated(now clock.Microseconds) bool {
	return r.election.Isolated() || r.IsLeader() && !r.LeadershipConfirmed(now) || r.leaderTimedOut(now)
}

// leaderTimedOut reports whether this is a follower that has received neither entries nor a
// heartbeat for a whole lease duration, into which several heartbeats fall.
func (r *Replica) leaderTimedOut(now clock.Microseconds) bool {
	return r.role == roleFollower && now-r.leaderContactAt > r.LeaseDuration
}
