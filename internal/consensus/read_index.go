package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

// Echo is what a core shows of its slot in the transport's answer to a Confirm or an OK.
type Echo struct {
	Part, Slot int
	// Promised is the highest round that the slot had promised when it answered.
	Promised uint64
	// Recovering slots have forgotten their promises, and confirm nothing.
	Recovering bool
}

// RequestsEcho tells whether the transport's answer to a message is to carry an echo.
func (m Message) RequestsEcho() bool {
	return m.Kind == MsgConfirmLeadership || m.Kind == MsgElection && m.Election.Kind == election.OK
}

// Echo is what this member shows of itself now.
func (r *Replica) Echo() Echo {
	return Echo{Part: r.Shard, Slot: r.Self, Promised: r.PromisedTerm, Recovering: r.recovery != nil}
}

// ReceiveEcho takes the echo of a message that was sent at that moment to the daemon at an
// address. A slot that had promised no round above this one's shows that no later leader
// can have committed anything before the message was sent.
func (r *Replica) ReceiveEcho(now, sentAt clock.Microseconds, address string, echo Echo) Output {
	if echo.Slot < 0 || echo.Slot >= r.Slots || echo.Slot == r.Self || echo.Recovering || echo.Part != r.Shard {
		return Output{}
	}
	if member := r.membership.Seats[echo.Slot]; member.Vacant() || member.Address != address {
		return Output{}
	}
	if _, term := r.election.Leader(); echo.Promised > term {
		return Output{}
	}
	r.election.RecordAnswer(echo.Slot, sentAt)
	r.updateRole(now)
	return r.takeOutput()
}

// LeadershipConfirmedUntil is until when this member may speak as the owner of the part, by the
// contact with a majority that it has had.
func (r *Replica) LeadershipConfirmedUntil(now clock.Microseconds) clock.Microseconds {
	if !r.IsLeader() {
		return 0
	}
	return r.election.ConfirmedUntil(now)
}

// LeadershipConfirmed tells whether this member owns the part and was lately in contact with a majority.
func (r *Replica) LeadershipConfirmed(now clock.Microseconds) bool {
	return r.IsLeader() && now < r.LeadershipConfirmedUntil(now)
}

// Isolated tells whether this member knows that it is out of touch: it leads without
// contact with a majority, no majority answers its PINGs, or it follows a leader that shows
// it nothing, as one does whose bindings have given the slot away.
func (r *Replica) Isolated(now clock.Microseconds) bool {
	return r.election.Isolated() || r.IsLeader() && !r.LeadershipConfirmed(now) || r.leaderTimedOut(now)
}

// leaderTimedOut tells whether this member follows a leader that has sent it neither entries nor a
// heartbeat for a whole lease; three heartbeats are due in one.
func (r *Replica) leaderTimedOut(now clock.Microseconds) bool {
	return r.role == roleFollower && now-r.leaderContactAt > r.LeaseDuration
}

// PendingRead is a read under way: it may be answered once a majority has confirmed, by answers to
// questions sent after it began, that this member still leads the round, and once a majority
// knows all that was committed here when it began.
type PendingRead struct {
	startedAt clock.Microseconds
	index     uint64
	term      uint64
}

// BeginRead begins a read, and asks the others to confirm; false where this member does not
// own the part.
func (r *Replica) BeginRead(now clock.Microseconds) (PendingRead, bool, Output) {
	if !r.LeadershipConfirmed(now) {
		return PendingRead{}, false, Output{}
	}
	if !r.readConfirmSent || now-r.readConfirmSentAt >= readConfirmInterval {
		r.readConfirmSent, r.readConfirmSentAt = true, now
		for slot := range r.Slots {
			if slot != r.Self {
				r.output.Messages = append(r.output.Messages, Message{
					Part: r.Shard, From: r.Self, To: slot, Kind: MsgConfirmLeadership, Round: r.ownTerm, Epoch: r.membership.Epoch,
				})
			}
		}
	}
	return PendingRead{now, r.commitIndex, r.ownTerm}, true, r.takeOutput()
}

// readConfirmInterval lies between two questions of reads; what is asked between them is confirmed by
// the next OK at the latest, that is, within δ.
const readConfirmInterval = 20 * clock.Millisecond

// ReadStatus says what has become of a read.
type ReadStatus uint8

// A read waits, may be answered, or can't be answered here any more.
const (
	ReadPending ReadStatus = iota
	ReadReady
	ReadAborted
)

// CheckRead says what has become of a read.
func (r *Replica) CheckRead(now clock.Microseconds, read PendingRead) ReadStatus {
	quorumContact, ok := r.election.QuorumContact(now)
	switch {
	case !r.IsLeader() || r.ownTerm != read.term:
		return ReadAborted
	case !ok || quorumContact < read.startedAt || r.quorumCommitIndex < read.index:
		return ReadPending
	case len(r.pendingResults) > 0 && r.pendingResults[0].Index <= read.index:
		return ReadPending
	}
	return ReadReady
}
