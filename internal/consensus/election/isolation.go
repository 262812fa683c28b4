package election

import "coursepass/internal/clock"

const (
	// pongValidDeltas is how many δ the answer to a PING counts, as a PING goes out each δ.
	pongValidDeltas = 3
	// rejoinQuarters is how many quarters of δ a machine that a quorum answers again waits
	// for its round's candidate: an OK each δ, which takes δ, and some slack.
	rejoinQuarters = 9
)

// isolation is the time of a machine whose PINGs less than a quorum answers. It keeps its
// round and alerts nobody, and sends PINGs only. This is an exception to the paper.
type isolation struct {
	pingSentAt clock.Microseconds
	// pongAt is when a slot answered last.
	pongAt map[int]clock.Microseconds
	// quorumSince is since when a quorum answers.
	quorumSince clock.Microseconds
	hasQuorum   bool
}

// Isolated tells whether less than a quorum answers this machine's PINGs.
func (e *Elector) Isolated() bool { return e.isolation != nil }

func (e *Elector) isolate(now clock.Microseconds) {
	e.pinging, e.okCount = false, 0
	e.isolation = &isolation{pongAt: map[int]clock.Microseconds{}}
	e.pingWhileIsolated(now)
}

func (e *Elector) pingWhileIsolated(now clock.Microseconds) {
	e.isolation.pingSentAt = now
	e.broadcast(Message{PING, e.term})
}

// recentlyAnswered are the slots that have answered lately, this one included.
func (e *Elector) recentlyAnswered(now clock.Microseconds) map[int]bool {
	answered := map[int]bool{e.Self: true}
	for slot, answeredAt := range e.isolation.pongAt {
		if now-answeredAt <= pongValidDeltas*e.Delta {
			answered[slot] = true
		}
	}
	return answered
}

// retryQuorum sends PINGs until a quorum answers. A candidate that had lost its contact then
// goes on in its round; any other waits a little for its candidate's OK, and ends the ping
// step as the paper does if none comes.
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
		isolation.hasQuorum, isolation.quorumSince = true, now
	}
	switch {
	case e.quorumContact.expired:
		e.quorumContact.expired, e.quorumContact.startedAt = false, now
		e.rejoin(now)
	case now-isolation.quorumSince >= rejoinQuarters*e.Delta/4:
		e.pongsFrom = answered
		e.startTerm(e.nextAnsweredTerm(), now)
	}
}

// rejoin ends the isolation in the same round.
func (e *Elector) rejoin(now clock.Microseconds) {
	if e.isolation != nil {
		e.isolation = nil
		e.timerStartedAt = now
	}
}
