package election

import "coursepass/internal/clock"

const (
	// pongValidDeltas is for how many δ the answer to a PING counts while a PING goes out each δ.
	pongValidDeltas = 3
	// rejoinWaitQuarterDeltas is for how many quarters of δ a slot that a quorum answers again
	// waits for an OK of its term's candidate: one δ between two OKs, one on the way, and slack.
	rejoinWaitQuarterDeltas = 9
	quartersPerDelta        = 4
)

// isolation is the state of a slot whose PINGs are answered by less than a quorum. It keeps
// its term, sends no ALERT, and sends a PING each δ. The paper has no such state: there a slot
// that hears nobody would count up its term and depose the leader that a majority follows
// when it comes back.
type isolation struct {
	pingSentAt clock.Microseconds
	// pongAt is when each slot answered last.
	pongAt map[int]clock.Microseconds
	// quorumSince is since when a quorum has answered; it counts if hasQuorum.
	quorumSince clock.Microseconds
	hasQuorum   bool
}

// Isolated reports whether less than a quorum answers this slot's PINGs.
func (e *Elector) Isolated() bool {
	return e.isolation != nil
}

// isolate ends the ping step, if one is under way, and begins the isolation.
func (e *Elector) isolate(now clock.Microseconds) {
	e.ping.active = false
	e.okCount = 0
	e.isolation = &isolation{pongAt: map[int]clock.Microseconds{}}
	e.pingWhileIsolated(now)
}

// endIsolation ends the isolation, if there is one, in the same term.
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

// recentlyAnswered returns the slots whose last answer still counts, Self included.
func (e *Elector) recentlyAnswered(now clock.Microseconds) map[int]bool {
	answered := map[int]bool{e.Self: true}
	for slot, answeredAt := range e.isolation.pongAt {
		if now-answeredAt <= pongValidDeltas*e.Delta {
			answered[slot] = true
		}
	}
	return answered
}

// retryQuorum sends the PINGs of an isolated slot and ends the isolation once a quorum answers.
// A candidate that had lost its quorum then goes on in its term. Any other slot first waits for
// an OK of its candidate, and concludes the ping step as in Fig. 5 if none arrives.
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
