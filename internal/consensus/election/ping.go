package election

import "coursepass/internal/clock"

// pingTimeoutDeltas is how long, in δ, a slot waits for the answers to its PING: one δ in each
// direction (Fig. 5).
const pingTimeoutDeltas = 2

// pingStep is the state of the ping step (Fig. 5), which searches for the next term whose candidate
// is alive.
type pingStep struct {
	active bool
	sentAt clock.Microseconds
	// pongsFrom contains the slots that have answered the PING, and Self.
	pongsFrom map[int]bool
	alertSent bool
}

// startPing starts the ping step, unless the slot is isolated: an isolated slot sends PINGs anyway.
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

// sendAlert sends the ALERT of the ping step, once a quorum has answered the PING. In the paper the
// ALERT is sent together with the PING. There, a slot that receives no answers would make every
// slot that receives its ALERT clear the leader.
func (e *Elector) sendAlert(now clock.Microseconds) {
	if e.ping.alertSent || len(e.ping.pongsFrom) < e.Quorum {
		return
	}
	e.ping.alertSent = true
	e.broadcast(Message{ALERT, e.term + 1})
	e.handleAlert(e.term+1, now)
}

// concludePing ends the ping step. If a quorum has answered, this slot starts the next term whose
// candidate has answered; otherwise it becomes isolated and keeps its term.
func (e *Elector) concludePing(now clock.Microseconds) {
	if len(e.ping.pongsFrom) < e.Quorum {
		e.isolate(now)
		return
	}
	e.startTerm(e.nextAnsweredTerm(), now)
}

// nextAnsweredTerm returns the lowest term above the current one whose candidate has answered. Self
// counts as a candidate that has answered if it may lead the term, or if no other slot has
// answered.
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

// handlePing answers a PING with a PONG if this slot could be a candidate. If Quorum is above 1, a
// PING of an earlier term is answered with a START instead, as an OK of an earlier term is, so that
// its sender joins the current term and does not start a new one.
func (e *Elector) handlePing(from int, term uint64) {
	switch {
	case e.Quorum > 1 && term < e.term:
		e.send(from, Message{START, e.term})
	case e.available():
		e.send(from, Message{PONG, term})
	}
}

// handlePong records a PONG of the current term. It ignores a PONG of any other term.
func (e *Elector) handlePong(now clock.Microseconds, from int, term uint64) {
	switch {
	case term != e.term:
	case e.isolation != nil:
		e.isolation.lastPongAt[from] = now
	case e.ping.active:
		e.ping.pongsFrom[from] = true
		e.sendAlert(now)
	}
}
