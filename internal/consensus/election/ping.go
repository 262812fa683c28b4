package election

import "coursepass/internal/clock"

// pingTimeoutDeltas is for how many δ answers to a PING are awaited: one δ each way (Fig. 5).
const pingTimeoutDeltas = 2

// pingStep is the state of the ping step (Fig. 5): the search for the next term whose
// candidate is alive.
type pingStep struct {
	active bool
	sentAt clock.Microseconds
	// pongsFrom are the slots that have answered, Self included.
	pongsFrom map[int]bool
	alertSent bool
}

// startPing begins the ping step. An isolated slot does not: it sends PINGs in any case.
func (e *Elector) startPing(now clock.Microseconds) {
	if e.isolation != nil {
		return
	}
	e.ping = pingStep{
		active:    true,
		sentAt:    now,
		pongsFrom: map[int]bool{e.Self: true},
	}
	e.leader = NoLeader
	e.sendAlert(now)
	e.broadcast(Message{PING, e.term})
}

// sendAlert sends the ALERT of the ping step once a quorum has answered the PING. In the paper
// it goes out together with the PING; a slot that nobody answers would then clear the leader
// of all who hear it.
func (e *Elector) sendAlert(now clock.Microseconds) {
	if e.ping.alertSent || len(e.ping.pongsFrom) < e.Quorum {
		return
	}
	e.ping.alertSent = true
	e.broadcast(Message{ALERT, e.term + 1})
	e.handleAlert(e.term+1, now)
}

// concludePing ends the ping step: with the next term whose candidate has answered, or isolated
// in the same term if less than a quorum has answered.
func (e *Elector) concludePing(now clock.Microseconds) {
	if len(e.ping.pongsFrom) < e.Quorum {
		e.isolate(now)
		return
	}
	e.startTerm(e.nextAnsweredTerm(), now)
}

// nextAnsweredTerm returns the lowest later term whose candidate has answered. Self counts if
// it may lead the term, or if nobody else has answered.
func (e *Elector) nextAnsweredTerm() uint64 {
	for term := e.term + 1; ; term++ {
		candidate := e.Candidate(term)
		if !e.ping.pongsFrom[candidate] {
			continue
		}
		if candidate != e.Self || e.mayLead(term) || len(e.ping.pongsFrom) == 1 {
			return term
		}
	}
}

// handlePing answers a PING. With a quorum, a PING of an earlier term is answered with START,
// as an earlier OK is, so that its sender joins the current term and does not start one.
func (e *Elector) handlePing(from int, term uint64) {
	switch {
	case e.Quorum > 1 && term < e.term:
		e.send(from, Message{START, e.term})
	case e.available():
		e.send(from, Message{PONG, term})
	}
}

// handlePong records the answer to a PING of the current term; others are ignored.
func (e *Elector) handlePong(now clock.Microseconds, from int, term uint64) {
	switch {
	case term != e.term:
	case e.isolation != nil:
		e.isolation.pongAt[from] = now
	case e.ping.active:
		e.ping.pongsFrom[from] = true
		e.sendAlert(now)
	}
}
