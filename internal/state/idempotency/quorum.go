package idempotency

import "coursepass/internal/clock"

// Answer is the answer of the replica in one slot to a request for a key.
type Answer struct {
	Slot int
	// Epoch is that of the membership that the replica knows.
	Epoch   uint64
	Verdict Verdict
	// Owner is the reservation that conflicts, with VerdictConflict.
	Owner Claim
}

// Outcome is the result of a request for a key.
type Outcome uint8

// The outcomes. All but OutcomePending are final.
const (
	// OutcomePending means that more answers are needed, or that a replica with a conflict
	// is to be asked again.
	OutcomePending Outcome = iota
	// OutcomeReserved means that the request has the key.
	OutcomeReserved
	// OutcomeConflict means that another request has the key, or may yet get it.
	OutcomeConflict
	// OutcomeNoQuorum means that too few replicas answered in time.
	OutcomeNoQuorum
)

// QuorumCount counts the replicas' answers to one request for a key. Only answers under the
// latest membership epoch count, since the new replica in a slot may not know what the old
// one reserved. It is not safe for concurrent use.
//
// Requests at the same time may split the replicas so that none has a majority. Then the
// first in the order of RequestID.Precedes keeps its reservations and asks the replicas with
// a conflict again; those that see a request before theirs lose, and release what they have.
type QuorumCount struct {
	Replicas  int
	self      RequestID
	startedAt clock.Microseconds
	epoch     uint64
	// answers are the latest answers, and unreachable the failed replicas, by slot.
	answers     map[int]Answer
	unreachable map[int]bool
	// owner is the last reservation that conflicted, if conflict is set.
	owner    Claim
	conflict bool
	outcome  Outcome
}

// NewQuorumCount starts the count of one request under a membership of this epoch.
func NewQuorumCount(now clock.Microseconds, replicas int, epoch uint64, self RequestID) *QuorumCount {
	return &QuorumCount{
		Replicas:    replicas,
		self:        self,
		startedAt:   now,
		epoch:       epoch,
		answers:     map[int]Answer{},
		unreachable: map[int]bool{},
	}
}

// RecordAnswer records an answer that arrived now.
func (q *QuorumCount) RecordAnswer(now clock.Microseconds, answer Answer) {
	if answer.Slot < 0 || answer.Slot >= q.Replicas {
		return
	}
	if answer.Epoch > q.epoch {
		q.epoch = answer.Epoch
	}
	q.answers[answer.Slot] = answer
	if answer.Verdict == VerdictConflict {
		q.conflict, q.owner = true, answer.Owner
	}
	q.Outcome(now)
}

// RecordUnreachable records that a replica can't be reached.
func (q *QuorumCount) RecordUnreachable(replica int) { q.unreachable[replica] = true }

// countReserved returns the number of replicas that have reserved the key for this request,
// and of those that may still answer.
func (q *QuorumCount) countReserved() (reserved, remaining int) {
	for replica := range q.Replicas {
		answer, answered := q.answers[replica]
		switch {
		case answered && answer.Epoch == q.epoch && answer.Verdict == VerdictReserved:
			reserved++
		case !answered && !q.unreachable[replica]:
			remaining++
		}
	}
	return reserved, remaining
}

// Outcome returns the outcome by the answers so far. A majority counts only if it was reached
// within ReservationTimeout on this router's clock: a recovering replica relies on that. A
// final outcome stands, as the reservations of a request that lost are released.
func (q *QuorumCount) Outcome(now clock.Microseconds) Outcome {
	if q.outcome == OutcomePending {
		q.outcome = q.decide(now)
	}
	return q.outcome
}

func (q *QuorumCount) decide(now clock.Microseconds) Outcome {
	reserved, remaining := q.countReserved()
	inTime := now-q.startedAt < ReservationTimeout
	switch {
	case inTime && reserved >= majority(q.Replicas):
		return OutcomeReserved
	case inTime && reserved+remaining >= majority(q.Replicas):
		return OutcomePending
	case inTime && q.mayStillWin(reserved+remaining):
		return OutcomePending
	case q.conflict:
		return OutcomeConflict
	}
	return OutcomeNoQuorum
}

// mayStillWin reports whether this request may still get a majority, with so many replicas
// that are its own or have not answered: no other request has a majority, all the others
// yield to this one, and the replicas that they will release are enough.
func (q *QuorumCount) mayStillWin(own int) bool {
	reservedBy := map[RequestID]int{}
	for _, answer := range q.answers {
		if answer.Verdict != VerdictConflict || answer.Epoch != q.epoch {
			continue
		}
		other := answer.Owner.By
		reservedBy[other]++
		if other.Precedes(q.self) || reservedBy[other] >= majority(q.Replicas) {
			return false
		}
		own++
	}
	return own >= majority(q.Replicas)
}

// ShouldRetry reports whether a replica that answered with a conflict is to be asked again.
func (q *QuorumCount) ShouldRetry(now clock.Microseconds, replica int) bool {
	return q.answers[replica].Verdict == VerdictConflict && q.Outcome(now) == OutcomePending
}

// Withdraw ends a request that has no final outcome yet: no later answer counts.
func (q *QuorumCount) Withdraw() {
	if q.outcome == OutcomePending {
		q.outcome = OutcomeConflict
	}
}

// Owner returns the reservation that conflicted, if one did.
func (q *QuorumCount) Owner() (Claim, bool) { return q.owner, q.conflict }
