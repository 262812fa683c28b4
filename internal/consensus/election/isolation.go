package election

import "coursepass/internal/clock"

const (
	// pongValidDeltas is how long a PONG counts as an answer, in δ, for an isolated slot, which
	// sends a PING every δ.
	pongValidDeltas = 3
	// rejoinWaitQuarterDeltas is how long, in quarters of δ, a slot that a quorum answers again
	// waits for an OK of its term's candidate: one δ between two OKs, one δ for the delivery, and a
	// quarter of δ of slack.
	rejoinWaitQuarterDeltas = 9
	quartersPerDelta        = 4
)

// isolation is the state of a slot whose PINGs are answered by fewer slots than a quorum. The slot
// keeps its term, sends no ALERT, and sends a PING every δ. The paper has no such state: there, a
// slot that receives no messages would raise its term again and again, and after its return it
// would depose the leader that a majority follows.
type isolation struct {
	pingSentAt clock.Microseconds
	// lastPongAt is when the last PONG of each slot arrived.
	lastPongAt map[int]clock.Microseconds
	// quorumSince is when a quorum began to answer; it is valid if hasQuorum is set.
	quorumSince clock.Microseconds
	hasQuorum   bool
}

// Isolated reports whether fewer slots than a quorum answer the PINGs of this slot.
func (e *Elector) Isolated() bool {
	return e.isolation != nil
}

// isolate ends the ping step, if one is in progress, and starts the isolation.
func (e *Elector) isolate(now clock.Microseconds) {
	e.ping.active = false
	e.okCount = 0
	e.isolation = &isolation{lastPongAt: map[int]clock.Microseconds{}}
	e.pingWhileIsolated(now)
}

// endIsolation ends the isolation, if there is one, and restarts the heartbeat timeout. The term
// does not change.
func (e *Elector) endIsolation(now clock.Microseconds) {
	if e.isolation != nil {
		e.isolation = nil
		e.timerStartedAt = now
	}
}

func (e *Elector) pingWhileIsolated(now clock.Microseconds) {
	e.isolation.pingSentAt = now
	e.broadcast(Message{PING, e.term})
}

// recentlyAnswered returns the slots whose last PONG still counts as an answer, and Self.
func (e *Elector) recentlyAnswered(now clock.Microseconds) map[int]bool {
	answered := map[int]bool{e.Self: true}
	for slot, answeredAt := range e.isolation.lastPongAt {
		if now-answeredAt <= pongValidDeltas*e.Delta {
			answered[slot] = true
		}
	}
	return answered
}

// retryQuorum sends the PINGs of an isolated slot, and ends the isolation once a quorum answers. A
// candidate that had stepped down for lack of a quorum then resumes its term. Any other slot first
// waits for an OK of its term's candidate; if none arrives, the slot concludes the ping step as in
// Fig. 5.
func (e *Elector) retryQuorum(now clock.Microseconds) {
	isolation := e.isolation
	if now-isolation.pingSentAt >= e.Delta {
		e.pingWhileIsolated(now)
	}
	answered := e.recentlyAnswered(now)
	if len(answered) < e.Quorum {
		isolation.hasQuorum = false
		return
	}
	if !isolation.hasQuorum {
		isolation.hasQuorum = true
		isolation.quorumSince = now
	}
	switch {
	case e.quorumContact.expired:
		e.quorumContact.renew(now)
		e.endIsolation(now)
	case now-isolation.quorumSince >= rejoinWaitQuarterDeltas*e.Delta/quartersPerDelta:
		e.ping.pongsFrom = answered
		e.startTerm(e.nextAnsweredTerm(), now)
	}
}
