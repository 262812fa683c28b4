package election

import (
	"slices"

	"coursepass/internal/clock"
)

const (
	// leadershipConfirmedDeltas is how long, in δ, a candidate may act as leader after its last
	// contact with a quorum: an OK is sent every δ and answered within 2δ, which leaves one δ of
	// slack.
	leadershipConfirmedDeltas = 4
	// contactTimeoutDeltas is how long, in δ, a candidate stays a candidate after its last contact
	// with a quorum.
	contactTimeoutDeltas = 6
)

// quorumContact records the answers that a candidate has received in the current term.
type quorumContact struct {
	// requestedAt is, for each slot that has answered, the time at which the latest answered
	// request was sent.
	requestedAt []clock.Microseconds
	answered    []bool
	// startedAt is when the contact timeout started: at the start of the term, or when contact was
	// last regained.
	startedAt clock.Microseconds
	// expired is set while this candidate has stepped down because no quorum answered it.
	expired bool
}

// reset removes all answers at the start of a term.
func (q *quorumContact) reset(slots int, now clock.Microseconds) {
	q.requestedAt = make([]clock.Microseconds, slots)
	q.answered = make([]bool, slots)
	q.renew(now)
}

// renew restarts the contact timeout, and lets this slot be a candidate again.
func (q *quorumContact) renew(now clock.Microseconds) {
	q.startedAt = now
	q.expired = false
}

// RecordAnswer records that a slot has answered a request that this slot sent at sentAt. The caller
// must know that the answering slot had promised no term above the current one when it answered.
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
// requests sent at that time or later. It returns false if no quorum has answered in this term.
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

// ConfirmedUntil returns the time until which contact with a quorum allows this slot to act as
// leader, or 0 if there was no contact in this term. Whether this slot is the leader at all is not
// checked; Leader returns that.
func (e *Elector) ConfirmedUntil(now clock.Microseconds) clock.Microseconds {
	contactAt, hasContact := e.QuorumContact(now)
	if !hasContact {
		return 0
	}
	return contactAt + leadershipConfirmedDeltas*e.Delta
}

// checkQuorumContact makes a candidate step down if no quorum has answered it for too long: the
// candidate sends no OK and no PONG, outputs no leader, and is isolated until a quorum answers. The
// paper has no such rule: there, a leader whose messages arrive but that receives none stays
// leader.
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
