package part

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

// Echoes tells whether the transport's answer to a message is to carry an echo.
func (message Message) Echoes() bool {
	return message.Kind == Confirm || message.Kind == Elect && message.Election.Kind == election.OK
}

// Echo is what this member shows of itself now.
func (member *Member) Echo() Echo {
	return Echo{Part: member.Part, Slot: member.Self, Promised: member.Promised, Recovering: member.recovery != nil}
}

// Echoed takes the echo of a message that was sent at that moment to the daemon at an
// address. A slot that had promised no round above this one's shows that no later leader
// can have committed anything before the message was sent.
func (member *Member) Echoed(now, asked schedule.Microseconds, address string, echo Echo) Output {
	if echo.Slot < 0 || echo.Slot >= member.Slots || echo.Slot == member.Self || echo.Recovering || echo.Part != member.Part {
		return Output{}
	}
	if seat := member.bindings.Seats[echo.Slot]; seat.Vacant() || seat.Address != address {
		return Output{}
	}
	if _, round := member.election.Leader(); echo.Promised > round {
		return Output{}
	}
	member.election.Answered(echo.Slot, asked)
	member.follow(now)
	return member.take()
}

// ConfirmedUntil is until when this member may speak as the owner of the part, by the
// contact with a majority that it has had.
func (member *Member) ConfirmedUntil(now schedule.Microseconds) schedule.Microseconds {
	if !member.Owns() {
		return 0
	}
	return member.election.ConfirmedUntil(now)
}

// Confirmed tells whether this member owns the part and was lately in contact with a majority.
func (member *Member) Confirmed(now schedule.Microseconds) bool {
	return member.Owns() && now < member.ConfirmedUntil(now)
}

// Detached tells whether this member knows that it is out of touch: it leads without
// contact with a majority, no majority answers its PINGs, or it follows a leader that shows
// it nothing, as one does whose bindings have given the slot away.
func (member *Member) Detached(now schedule.Microseconds) bool {
	return member.election.Isolated() || member.Owns() && !member.Confirmed(now) || member.forsaken(now)
}

// forsaken tells whether this member follows a leader that has sent it neither entries nor a
// heartbeat for a whole lease; three heartbeats are due in one.
func (member *Member) forsaken(now schedule.Microseconds) bool {
	return member.stage == following && now-member.shownAt > member.Lease
}

// Read is a read under way: it may be answered once a majority has confirmed, by answers to
// questions sent after it began, that this member still leads the round, and once a majority
// knows all that was committed here when it began.
type Read struct {
	since schedule.Microseconds
	index uint64
	round uint64
}

// BeginRead begins a read, and asks the others to confirm; false where this member does not
// own the part.
func (member *Member) BeginRead(now schedule.Microseconds) (Read, bool, Output) {
	if !member.Confirmed(now) {
		return Read{}, false, Output{}
	}
	if !member.probed || now-member.probedAt >= probeSpan {
		member.probed, member.probedAt = true, now
		for slot := range member.Slots {
			if slot != member.Self {
				member.output.Urgent = append(member.output.Urgent, Message{
					Part: member.Part, From: member.Self, To: slot, Kind: Confirm, Round: member.mine, Epoch: member.bindings.Epoch,
				})
			}
		}
	}
	return Read{now, member.commit, member.mine}, true, member.take()
}

// probeSpan lies between two questions of reads; what is asked between them is confirmed by
// the next OK at the latest, that is, within δ.
const probeSpan = 20 * schedule.Millisecond

// ReadState says what has become of a read.
type ReadState uint8

// A read waits, may be answered, or can't be answered here any more.
const (
	ReadWaits ReadState = iota
	ReadReady
	ReadLost
)

// Judge says what has become of a read.
func (member *Member) Judge(now schedule.Microseconds, read Read) ReadState {
	contact, known := member.election.Contact(now)
	switch {
	case !member.Owns() || member.mine != read.round:
		return ReadLost
	case !known || contact < read.since || member.settled < read.index:
		return ReadWaits
	case len(member.answers) > 0 && member.answers[0].Index <= read.index:
		return ReadWaits
	}
	return ReadReady
}
