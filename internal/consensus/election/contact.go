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

func (q *contact) begin(slots int, now schedule.Microseconds) {
	q.asked, q.known = make([]schedule.Microseconds, slots), make([]bool, slots)
	q.began, q.lost = now, false
}

// Answered notes that a slot has answered a question sent at that moment, while it had
// promised no round above this one.
func (e *Machine) Answered(slot int, asked schedule.Microseconds) {
	if slot < 0 || slot >= e.Slots || e.contact.known[slot] && asked <= e.contact.asked[slot] {
		return
	}
	e.contact.asked[slot], e.contact.known[slot] = asked, true
}

// Contact is the latest moment such that a quorum, this machine included, has answered
// questions that were sent at it or later; false while there is none.
func (e *Machine) Contact(now schedule.Microseconds) (schedule.Microseconds, bool) {
	if e.Quorum <= 1 {
		return now, true
	}
	var asked []schedule.Microseconds
	for slot, known := range e.contact.known {
		if known && slot != e.Self {
			asked = append(asked, e.contact.asked[slot])
		}
	}
	if len(asked) < e.Quorum-1 {
		return 0, false
	}
	slices.Sort(asked)
	return asked[len(asked)-(e.Quorum-1)], true
}

// ConfirmedUntil is until when a leader may speak as such by the contact that it has had.
func (e *Machine) ConfirmedUntil(now schedule.Microseconds) schedule.Microseconds {
	at, known := e.Contact(now)
	if !known {
		return 0
	}
	return at + confirmedDeltas*e.Delta
}

// watchContact has a candidate that no quorum has answered for too long give way: it sends
// no OK and no PONG, nobody is leader here, and it asks until a quorum answers. This is an
// exception to the paper.
func (e *Machine) watchContact(now schedule.Microseconds) {
	if e.Quorum <= 1 || !e.mayLead(e.round) {
		return
	}
	at, known := e.Contact(now)
	if !known || at < e.contact.began {
		at = e.contact.began
	}
	if now-at <= lostDeltas*e.Delta {
		return
	}
	e.contact.lost = true
	e.leader = Nobody
	e.isolate(now)
}
