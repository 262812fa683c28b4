package election

import (
	"slices"

	"coursepass/internal/clock"
)

const (
	// leadershipConfirmedDeltas is for how many δ after its last contact with a quorum a
	// candidate may act as leader: an OK goes out each δ and is answered within 2δ, which leaves
	// one δ of slack.
	leadershipConfirmedDeltas = 4
	// contactTimeoutDeltas is for how many δ after its last contact with a quorum a candidate
	// stays candidate.
	contactTimeoutDeltas = 6
)

// quorumContact is what a candidate knows about which slots answer it in the current term.
type quorumContact struct {
	// requestedAt is, for each slot that has answered, when the latest request was sent that it
	// has answered.
	requestedAt []clock.Microseconds
	answered    []bool
	// startedAt is when the term began, or contact was last regained: silence counts from it.
	startedAt clock.Microseconds
	// expired is set while this candidate has stepped down because no quorum answered it.
	expired bool
}

// reset forgets all answers, at the start of a term.
func (q *quorumContact) reset(slots int, now clock.Microseconds) {
	q.requestedAt = make([]clock.Microseconds, slots)
	q.answered = make([]bool, slots)
	q.renew(now)
}

// renew makes the slot a candidate again and restarts the timeout.
func (q *quorumContact) renew(now clock.Microseconds) {
	q.startedAt = now
	q.expired = false
}

// RecordAnswer records that a slot has answered a request that this slot sent at sentAt. The
// caller must know that the slot had promised no term above the current one when it answered.
func (e *Elector) RecordAnswer(slot int, sentAt clock.Microseconds) {
	if slot < 0 || slot >= e.Slots {
		return
	}
	contact := &e.quorumContact
	if contact.answered[slot] && sentAt <= contact.requestedAt[slot] {
		return
	}
	contact.requestedAt[slot] = sentAt
	contact.answered[slot] = true
}

// QuorumContact returns the latest time such that a quorum, this slot included, has answered
// requests that were sent at that time or later; false if no quorum has answered in this term.
func (e *Elector) QuorumContact(now clock.Microseconds) (clock.Microseconds, bool) {
	if e.Quorum <= 1 {
		return now, true
	}
	var requestedAt []clock.Microseconds
	for slot, answered := range e.quorumContact.answered {
		if answered && slot != e.Self {
			requestedAt = append(requestedAt, e.quorumContact.requestedAt[slot])
		}
	}
	requiredAnswers := e.Quorum - 1
	if len(requestedAt) < requiredAnswers {
		return 0, false
	}
	slices.Sort(requestedAt)
	return requestedAt[len(requestedAt)-requiredAnswers], true
}

// ConfirmedUntil returns until when this slot may act as leader because of its contact with a
// quorum; 0 if it has had none. Whether it is leader at all is Leader's answer.
func (e *Elector) ConfirmedUntil(now clock.Microseconds) clock.Microseconds {
	contactAt, hasContact := e.QuorumContact(now)
	if !hasContact {
		return 0
	}
	return contactAt + leadershipConfirmedDeltas*e.Delta
}

// checkQuorumContact has a candidate step down that no quorum has answered for too long: it
// sends no OK and no PONG, outputs no leader, and is isolated until a quorum answers. The paper
// has no such rule: there a leader that others hear but that hears nobody stays leader.
func (e *Elector) checkQuorumContact(now clock.Microseconds) {
	if e.Quorum <= 1 || !e.mayLead(e.term) {
		return
	}
	contactAt, hasContact := e.QuorumContact(now)
	if !hasContact || contactAt < e.quorumContact.startedAt {
		contactAt = e.quorumContact.startedAt
	}
	if now-contactAt <= contactTimeoutDeltas*e.Delta {
		return
	}
	e.quorumContact.expired = true
	e.leader = NoLeader
	e.isolate(now)
}
