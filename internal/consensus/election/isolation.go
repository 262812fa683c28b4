package election

import "coursepass/internal/clock"

const (
	// heardDeltas is how many δ the answer to a PING counts, as a PING goes out each δ.
	heardDeltas = 3
	// rejoinQuarters is how many quarters of δ a machine that a quorum answers again waits
	// for its round's candidate: an OK each δ, which takes δ, and some slack.
	rejoinQuarters = 9
)

// isolation is the time of a machine whose PINGs less than a quorum answers. It keeps its
// round and alerts nobody, and sends PINGs only. This is an exception to the paper.
type isolation struct {
	asked schedule.Microseconds
	// heard is when a slot answered last.
	heard map[int]schedule.Microseconds
	// quorumAt is since when a quorum answers.
	quorumAt  schedule.Microseconds
	hasQuorum bool
}

// Isolated tells whether less than a quorum answers this machine's PINGs.
func (e *Machine) Isolated() bool { return e.isolation != nil }

func (e *Machine) isolate(now schedule.Microseconds) {
	e.asking, e.okays = false, 0
	e.isolation = &isolation{heard: map[int]schedule.Microseconds{}}
	e.pingAlone(now)
}

func (e *Machine) pingAlone(now schedule.Microseconds) {
	e.isolation.asked = now
	e.all(Message{PING, e.round})
}

// heardLately are the slots that have answered lately, this one included.
func (e *Machine) heardLately(now schedule.Microseconds) map[int]bool {
	found := map[int]bool{e.Self: true}
	for slot, at := range e.isolation.heard {
		if now-at <= heardDeltas*e.Delta {
			found[slot] = true
		}
	}
	return found
}

// seekQuorum sends PINGs until a quorum answers. A candidate that had lost its contact then
// goes on in its round; any other waits a little for its candidate's OK, and ends the ping
// step as the paper does if none comes.
func (e *Machine) seekQuorum(now schedule.Microseconds) {
	isolation := e.isolation
	if now-isolation.asked >= e.Delta {
		e.pingAlone(now)
	}
	answered := e.heardLately(now)
	if len(answered) < e.Quorum {
		isolation.hasQuorum = false
		return
	}
	if !isolation.hasQuorum {
		isolation.hasQuorum, isolation.quorumAt = true, now
	}
	switch {
	case e.contact.lost:
		e.contact.lost, e.contact.began = false, now
		e.rejoin(now)
	case now-isolation.quorumAt >= rejoinQuarters*e.Delta/4:
		e.answered = answered
		e.startRound(e.nextAnswered(), now)
	}
}

// rejoin ends the isolation in the same round.
func (e *Machine) rejoin(now schedule.Microseconds) {
	if e.isolation != nil {
		e.isolation = nil
		e.restarted = now
	}
}
