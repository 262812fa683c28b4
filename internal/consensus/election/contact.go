package election

import (
	"slices"

	"coursepass/internal/clock"
)

const (
	// confirmedDeltas is how many δ a candidate's last contact with a quorum may be old for
	// it to speak as leader: an OK each δ, whose answer takes 2δ at most, leaves one δ.
	confirmedDeltas = 4
	// lostDeltas is how many δ it may be old until the candidate gives way.
	lostDeltas = 6
)

// contact is what a candidate knows of who answers it: for each slot, when the question was
// sent whose answer has come.
type contact struct {
	asked []schedule.Microseconds
	known []bool
	began schedule.Microseconds
	// lost says that no quorum has answered this candidate for too long.
	lost bool
}

func (contact *contact) begin(slots int, now schedule.Microseconds) {
	contact.asked, contact.known = make([]schedule.Microseconds, slots), make([]bool, slots)
	contact.began, contact.lost = now, false
}

// Answered notes that a slot has answered a question sent at that moment, while it had
// promised no round above this one.
func (machine *Machine) Answered(slot int, asked schedule.Microseconds) {
	if slot < 0 || slot >= machine.Slots || machine.contact.known[slot] && asked <= machine.contact.asked[slot] {
		return
	}
	machine.contact.asked[slot], machine.contact.known[slot] = asked, true
}

// Contact is the latest moment such that a quorum, this machine included, has answered
// questions that were sent at it or later; false while there is none.
func (machine *Machine) Contact(now schedule.Microseconds) (schedule.Microseconds, bool) {
	if machine.Quorum <= 1 {
		return now, true
	}
	var asked []schedule.Microseconds
	for slot, known := range machine.contact.known {
		if known && slot != machine.Self {
			asked = append(asked, machine.contact.asked[slot])
		}
	}
	if len(asked) < machine.Quorum-1 {
		return 0, false
	}
	slices.Sort(asked)
	return asked[len(asked)-(machine.Quorum-1)], true
}

// ConfirmedUntil is until when a leader may speak as such by the contact that it has had.
func (machine *Machine) ConfirmedUntil(now schedule.Microseconds) schedule.Microseconds {
	at, known := machine.Contact(now)
	if !known {
		return 0
	}
	return at + confirmedDeltas*machine.Delta
}

// watchContact has a candidate that no quorum has answered for too long give way: it sends
// no OK and no PONG, nobody is leader here, and it asks until a quorum answers. This is an
// exception to the paper.
func (machine *Machine) watchContact(now schedule.Microseconds) {
	if machine.Quorum <= 1 || !machine.mayLead(machine.round) {
		return
	}
	at, known := machine.Contact(now)
	if !known || at < machine.contact.began {
		at = machine.contact.began
	}
	if now-at <= lostDeltas*machine.Delta {
		return
	}
	machine.contact.lost = true
	machine.leader = Nobody
	machine.isolate(now)
}
