package idempotency

import "coursepass/internal/clock"

// Answer is the answer of the replica in one slot to a request for a key.
type Answer struct {
	Slot int
	// Epoch is the epoch of the latest membership that the replica knows.
	Epoch   uint64
	Verdict Verdict
	// Owner is the conflicting reservation if Verdict is VerdictConflict.
	Owner Claim
}

// Outcome is the result of a request for a key.
type Outcome uint8

// The outcomes. All but OutcomePending are final.
const (
	// OutcomePending means that the router needs more answers or has to ask again a replica
	// that answered with a conflict.
	OutcomePending Outcome = iota
	// OutcomeReserved means that the request holds the key.
	OutcomeReserved
	// OutcomeConflict means that another request holds the key or may still get it, or that the
	// request was withdrawn.
	OutcomeConflict
	// OutcomeNoQuorum means that too few replicas answered in time.
	OutcomeNoQuorum
)

// QuorumCount counts the replicas' answers to one request for a key. Only answers of the
// latest membership epoch count, because a new replica in a slot may not know which keys its
// predecessor reserved. A QuorumCount is not safe for concurrent use.
//
// Concurrent requests may split the replicas so that no request has a majority. The request
// that is first in the order of RequestID.Precedes then keeps its reservations and asks again
// the replicas that answered with a conflict. A request that sees an earlier request in that
// order loses and releases its reservations.
type QuorumCount struct {
	// Replicas is the number of replicas of the shard.
	Replicas  int
	self      RequestID
	startedAt clock.Microseconds
	// epoch is the latest membership epoch that an answer or the router has named.
	epoch uint64
	// answers holds the latest answer of each replica, by slot.
	answers map[int]Answer
	// unreachable contains the slots of the replicas that could not be reached.
	unreachable map[int]bool
	// owner is the latest conflicting reservation if conflict is set.
	owner    Claim
	conflict bool
	outcome  Outcome
}

// NewQuorumCount starts the count for the request self under the membership with this epoch.
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

// RecordAnswer records an answer that arrived at the time now, and updates the outcome.
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

// RecordUnreachable records that the replica in a slot can't be reached.
func (q *QuorumCount) RecordUnreachable(replica int) { q.unreachable[replica] = true }

// countReserved returns the number of replicas that have reserved the key for this request
// and the number of replicas that may still answer.
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

// Outcome returns the outcome that follows from the answers so far. A majority counts only if
// it was reached within ReservationTimeout on this router's clock, because recovering replicas
// rely on that limit. A final outcome never changes, because a request that lost releases its
// reservations.
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

// mayStillWin reports whether this request can still get a majority once the conflicting
// requests release their reservations. This requires that no other request has a majority, that
// this request precedes all others, and that ownOrUnanswered, the number of replicas that have
// reserved the key for this request or have not answered, is a majority together with the
// number of replicas that the others will release.
func (q *QuorumCount) mayStillWin(ownOrUnanswered int) bool {
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
		ownOrUnanswered++
	}
	return ownOrUnanswered >= majority(q.Replicas)
}

// ShouldRetry reports whether the router must ask a replica again because the replica answered
// with a conflict while the outcome is still pending.
func (q *QuorumCount) ShouldRetry(now clock.Microseconds, replica int) bool {
	return q.answers[replica].Verdict == VerdictConflict && q.Outcome(now) == OutcomePending
}

// Withdraw ends a request that has no final outcome yet with OutcomeConflict. Later answers
// don't change that outcome.
func (q *QuorumCount) Withdraw() {
	if q.outcome == OutcomePending {
		q.outcome = OutcomeConflict
	}
}

// Owner returns the latest conflicting reservation; false if there was none.
func (q *QuorumCount) Owner() (Claim, bool) { return q.owner, q.conflict }
