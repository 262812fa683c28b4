package idempotency

import "coursepass/internal/clock"

// Answer is what one seat said of a claim.
type Answer struct {
	Slot    int
	Epoch   uint64
	Verdict Verdict
	// Owner is the claim that stands in the way.
	Owner Claim
}

// Outcome is what came of a claim.
type Outcome uint8

// The outcomes. Open says that more answers are needed, or that a seat that was taken is
// to be asked again. The others are final.
const (
	OutcomePending Outcome = iota
	OutcomeReserved
	OutcomeConflict
	OutcomeNoQuorum
)

// QuorumCount counts the seats' answers to one claim. Only answers under the latest bindings
// seen count, since a seat that went to another may not know it yet.
//
// Claimants that ask at once may split the seats so that none has a majority. Then the
// one with the least name keeps what it has and asks the taken seats again, and those
// that see a lesser name lose, and release what they have.
type QuorumCount struct {
	Replicas    int
	self        RequestID
	startedAt   clock.Microseconds
	epoch       uint64
	answers     map[int]Answer
	unreachable map[int]bool
	owner       Claim
	conflict    bool
	outcome     Outcome
}

// NewQuorumCount begins the claim of one claimant under bindings of this epoch.
func NewQuorumCount(now clock.Microseconds, replicas int, epoch uint64, self RequestID) *QuorumCount {
	return &QuorumCount{Replicas: replicas, self: self, startedAt: now, epoch: epoch, answers: map[int]Answer{}, unreachable: map[int]bool{}}
}

// RecordAnswer takes an answer that arrived now.
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

// RecordUnreachable notes that a seat can't be heard.
func (q *QuorumCount) RecordUnreachable(replica int) { q.unreachable[replica] = true }

func (q *QuorumCount) majority() int { return q.Replicas/2 + 1 }

// countReserved is how many grants count, and how many seats may still answer.
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

// Outcome is what the answers so far say. A majority counts only if it was there inside
// the budget, on this claimant's clock: a seat that starts anew relies on it. An outcome
// once told stands, as the grants of a claim that is not won are released.
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
	case inTime && reserved >= q.majority():
		return OutcomeReserved
	case inTime && reserved+remaining >= q.majority():
		return OutcomePending
	case inTime && q.mayStillWin(reserved+remaining):
		return OutcomePending
	case q.conflict:
		return OutcomeConflict
	}
	return OutcomeNoQuorum
}

// mayStillWin tells whether this claimant may yet win, with so many seats of its own or
// unheard: the others have no majority, all of them yield to its name, and the seats
// that they would release are enough.
func (q *QuorumCount) mayStillWin(own int) bool {
	reservedBy := map[RequestID]int{}
	for _, answer := range q.answers {
		if answer.Verdict != VerdictConflict || answer.Epoch != q.epoch {
			continue
		}
		other := answer.Owner.By
		reservedBy[other]++
		if other.Precedes(q.self) || reservedBy[other] >= q.majority() {
			return false
		}
		own++
	}
	return own >= q.majority()
}

// ShouldRetry tells whether a seat that was taken is to be asked again.
func (q *QuorumCount) ShouldRetry(now clock.Microseconds, replica int) bool {
	return q.answers[replica].Verdict == VerdictConflict && q.Outcome(now) == OutcomePending
}

// Withdraw ends a claim that was not won: no grant counts any more.
func (q *QuorumCount) Withdraw() {
	if q.outcome == OutcomePending {
		q.outcome = OutcomeConflict
	}
}

// Owner is who has the key, where it is known.
func (q *QuorumCount) Owner() (Claim, bool) { return q.owner, q.conflict }
