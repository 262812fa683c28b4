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
func (m Message) Echoes() bool {
	return m.Kind == Confirm || m.Kind == Elect && m.Election.Kind == election.OK
}

// Echo is what this member shows of itself now.
func (r *Member) Echo() Echo {
	return Echo{Part: r.Part, Slot: r.Self, Promised: r.Promised, Recovering: r.recovery != nil}
}

// Echoed takes the echo of a message that was sent at that moment to the daemon at an
// address. A slot that had promised no round above this one's shows that no later leader
// can have committed anything before the message was sent.
func (r *Member) Echoed(now, asked schedule.Microseconds, address string, echo Echo) Output {
	if echo.Slot < 0 || echo.Slot >= r.Slots || echo.Slot == r.Self || echo.Recovering || echo.Part != r.Part {
		return Output{}
	}
	if seat := r.bindings.Seats[echo.Slot]; seat.Vacant() || seat.Address != address {
		return Output{}
	}
	if _, round := r.election.Leader(); echo.Promised > round {
		return Output{}
	}
	r.election.Answered(echo.Slot, asked)
	r.follow(now)
	return r.take()
}

// ConfirmedUntil is until when this member may speak as the owner of the part, by the
// contact with a majority that it has had.
func (r *Member) ConfirmedUntil(now schedule.Microseconds) schedule.Microseconds {
	if !r.Owns() {
		return 0
	}
	return r.election.ConfirmedUntil(now)
}

// Confirmed tells whether this member owns the part and was lately in contact with a majority.
func (r *Member) Confirmed(now schedule.Microseconds) bool {
	return r.Owns() && now < r.ConfirmedUntil(now)
}

// Detached tells whether this member knows that it is out of touch: it leads without
// contact with a majority, no majority answers its PINGs, or it follows a leader that shows
// it nothing, as one does whose bindings have given the slot away.
func (r *Member) Detached(now schedule.Microseconds) bool {
	return r.election.Isolated() || r.Owns() && !r.Confirmed(now) || r.forsaken(now)
}

// forsaken tells whether this member follows a leader that has sent it neither entries nor a
// heartbeat for a whole lease; three heartbeats are due in one.
func (r *Member) forsaken(now schedule.Microseconds) bool {
	return r.stage == following && now-r.shownAt > r.Lease
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
func (r *Member) BeginRead(now schedule.Microseconds) (Read, bool, Output) {
	if !r.Confirmed(now) {
		return Read{}, false, Output{}
	}
	if !r.probed || now-r.probedAt >= probeSpan {
		r.probed, r.probedAt = true, now
		for slot := range r.Slots {
			if slot != r.Self {
				r.output.Urgent = append(r.output.Urgent, Message{
					Part: r.Part, From: r.Self, To: slot, Kind: Confirm, Round: r.mine, Epoch: r.bindings.Epoch,
				})
			}
		}
	}
	return Read{now, r.commit, r.mine}, true, r.take()
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
func (r *Member) Judge(now schedule.Microseconds, read Read) ReadState {
	contact, known := r.election.Contact(now)
	switch {
	case !r.Owns() || r.mine != read.round:
		return ReadLost
	case !known || contact < read.since || r.settled < read.index:
		return ReadWaits
	case len(r.answers) > 0 && r.answers[0].Index <= read.index:
		return ReadWaits
	}
	return ReadReady
}
