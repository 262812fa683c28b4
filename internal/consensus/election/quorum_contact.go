package election

import (
	"slices"

	"coursepass/internal/clock"
)

const (
	// leadershipConfirmedDeltas is how many δ a candidate's last contact with a quorum may be old for
	// it to speak as leader: an OK each δ, whose answer takes 2δ at most, leaves one δ.
	leadershipConfirmedDeltas = 4
	// contactTimeoutDeltas is how many δ it may be old until the candidate gives way.
	contactTimeoutDeltas = 6
)

// quorumContact is what a candidate knows of who answers it: for each slot, when the question was
// sent whose answer has come.
type quorumContact struct {
	requestedAt []clock.Microseconds
	answered    []bool
	startedAt   clock.Microseconds
	// expired says that no quorum has answered this candidate for too long.
	expired bool
}

func (q *quorumContact) reset(slots int, now clock.Microseconds) {
	q.requestedAt, q.answered = make([]clock.Microseconds, slots), make([]bool, slots)
	q.startedAt, q.expired = now, false
}

// RecordAnswer notes that a slot has answered a question sent at that moment, while it had
// promised no round above this one.
func (e *Elector) RecordAnswer(slot int, sentAt clock.Microseconds) {
	if slot < 0 || slot >= e.Slots || e.quorumContact.answered[slot] && sentAt <= e.quorumContact.requestedAt[slot] {
		return
	}
	e.quorumContact.requestedAt[slot], e.quorumContact.answered[slot] = sentAt, true
}

// QuorumContact is the latest moment such that a quorum, this machine included, has answered
// questions that were sent at it or later; false while there is none.
func (e *Elector) QuorumContact(now clock.Microseconds) (clock.Microseconds, bool) {
	if e.Quorum <= 1 {
		return now, true
	}
	var answeredAt []clock.Microseconds
	for slot, ok := range e.quorumContact.answered {
		if ok && slot != e.Self {
			answeredAt = append(answeredAt, e.quorumContact.requestedAt[slot])
		}
	}
	if len(answeredAt) < e.Quorum-1 {
		return 0, false
	}
	slices.Sort(answeredAt)
	return answeredAt[len(answeredAt)-(e.Quorum-1)], true
}

// ConfirmedUntil is until when a leader may speak as such by the contact that it has had.
func (e *Elector) ConfirmedUntil(now clock.Microseconds) clock.Microseconds {
	contactAt, ok := e.QuorumContact(now)
	if !ok {
		return 0
	}
	return contactAt + leadershipConfirmedDeltas*e.Delta
}

// checkQuorumContact has a candidate that no quorum has answered for too long give way: it sends
// no OK and no PONG, nobody is leader here, and it asks until a quorum answers. This is an
// exception to the paper.
func (e *Elector) checkQuorumContact(now clock.Microseconds) {
	if e.Quorum <= 1 || !e.mayLead(e.term) {
		return
	}
	contactAt, ok := e.QuorumContact(now)
	if !ok || contactAt < e.quorumContact.startedAt {
		contactAt = e.quorumContact.startedAt
	}
	if now-contactAt <= contactTimeoutDeltas*e.Delta {
		return
	}
	e.quorumContact.expired = true
	e.leader = NoLeader
	e.isolate(now)
}
