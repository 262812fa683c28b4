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
func (machine *Machine) Isolated() bool { return machine.isolation != nil }

func (machine *Machine) isolate(now schedule.Microseconds) {
	machine.asking, machine.okays = false, 0
	machine.isolation = &isolation{heard: map[int]schedule.Microseconds{}}
	machine.pingAlone(now)
}

func (machine *Machine) pingAlone(now schedule.Microseconds) {
	machine.isolation.asked = now
	machine.all(Message{PING, machine.round})
}

// heardLately are the slots that have answered lately, this one included.
func (machine *Machine) heardLately(now schedule.Microseconds) map[int]bool {
	found := map[int]bool{machine.Self: true}
	for slot, at := range machine.isolation.heard {
		if now-at <= heardDeltas*machine.Delta {
			found[slot] = true
		}
	}
	return found
}

// seekQuorum sends PINGs until a quorum answers. A candidate that had lost its contact then
// goes on in its round; any other waits a little for its candidate's OK, and ends the ping
// step as the paper does if none comes.
func (machine *Machine) seekQuorum(now schedule.Microseconds) {
	isolation := machine.isolation
	if now-isolation.asked >= machine.Delta {
		machine.pingAlone(now)
	}
	answered := machine.heardLately(now)
	if len(answered) < machine.Quorum {
		isolation.hasQuorum = false
		return
	}
	if !isolation.hasQuorum {
		isolation.hasQuorum, isolation.quorumAt = true, now
	}
	switch {
	case machine.contact.lost:
		machine.contact.lost, machine.contact.began = false, now
		machine.rejoin(now)
	case now-isolation.quorumAt >= rejoinQuarters*machine.Delta/4:
		machine.answered = answered
		machine.startRound(machine.nextAnswered(), now)
	}
}

// rejoin ends the isolation in the same round.
func (machine *Machine) rejoin(now schedule.Microseconds) {
	if machine.isolation != nil {
		machine.isolation = nil
		machine.restarted = now
	}
}
