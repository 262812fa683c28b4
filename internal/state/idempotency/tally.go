package claim

import "coursepass/internal/clock"

// Answer is what one seat said of a claim.
type Answer struct {
	Slot    int
	Epoch   uint64
	Verdict Verdict
	// Holder is the claim that stands in the way.
	Holder Claim
}

// Outcome is what came of a claim.
type Outcome uint8

// The outcomes. Open says that more answers are needed, or that a seat that was taken is
// to be asked again. The others are final.
const (
	Open Outcome = iota
	Won
	Lost
	Unheard
)

// Tally counts the seats' answers to one claim. Only answers under the latest bindings
// seen count, since a seat that went to another may not know it yet.
//
// Claimants that ask at once may split the seats so that none has a majority. Then the
// one with the least name keeps what it has and asks the taken seats again, and those
// that see a lesser name lose, and release what they have.
type Tally struct {
	Slots   int
	self    Name
	begun   schedule.Microseconds
	epoch   uint64
	answers map[int]Answer
	silent  map[int]bool
	holder  Claim
	taken   bool
	ended   Outcome
}

// NewTally begins the claim of one claimant under bindings of this epoch.
func NewTally(now schedule.Microseconds, slots int, epoch uint64, self Name) *Tally {
	return &Tally{Slots: slots, self: self, begun: now, epoch: epoch, answers: map[int]Answer{}, silent: map[int]bool{}}
}

// Hear takes an answer that arrived now.
func (q *Tally) Hear(now schedule.Microseconds, answer Answer) {
	if answer.Slot < 0 || answer.Slot >= q.Slots {
		return
	}
	if answer.Epoch > q.epoch {
		q.epoch = answer.Epoch
	}
	q.answers[answer.Slot] = answer
	if answer.Verdict == Taken {
		q.taken, q.holder = true, answer.Holder
	}
	q.Outcome(now)
}

// Miss notes that a seat can't be heard.
func (q *Tally) Miss(slot int) { q.silent[slot] = true }

func (q *Tally) majority() int { return q.Slots/2 + 1 }

// count is how many grants count, and how many seats may still answer.
func (q *Tally) count() (granted, left int) {
	for slot := range q.Slots {
		answer, heard := q.answers[slot]
		switch {
		case heard && answer.Epoch == q.epoch && answer.Verdict == Granted:
			granted++
		case !heard && !q.silent[slot]:
			left++
		}
	}
	return granted, left
}

// Outcome is what the answers so far say. A majority counts only if it was there inside
// the budget, on this claimant's clock: a seat that starts anew relies on it. An outcome
// once told stands, as the grants of a claim that is not won are released.
func (q *Tally) Outcome(now schedule.Microseconds) Outcome {
	if q.ended == Open {
		q.ended = q.decide(now)
	}
	return q.ended
}

func (q *Tally) decide(now schedule.Microseconds) Outcome {
	granted, left := q.count()
	inTime := now-q.begun < Budget
	switch {
	case inTime && granted >= q.majority():
		return Won
	case inTime && granted+left >= q.majority():
		return Open
	case inTime && q.precedes(granted+left):
		return Open
	case q.taken:
		return Lost
	}
	return Unheard
}

// precedes tells whether this claimant may yet win, with so many seats of its own or
// unheard: the others have no majority, all of them yield to its name, and the seats
// that they would release are enough.
func (q *Tally) precedes(own int) bool {
	held := map[Name]int{}
	for _, answer := range q.answers {
		if answer.Verdict != Taken || answer.Epoch != q.epoch {
			continue
		}
		other := answer.Holder.By
		held[other]++
		if other.Precedes(q.self) || held[other] >= q.majority() {
			return false
		}
		own++
	}
	return own >= q.majority()
}

// Contested tells whether a seat that was taken is to be asked again.
func (q *Tally) Contested(now schedule.Microseconds, slot int) bool {
	return q.answers[slot].Verdict == Taken && q.Outcome(now) == Open
}

// Withdraw ends a claim that was not won: no grant counts any more.
func (q *Tally) Withdraw() {
	if q.ended == Open {
		q.ended = Lost
	}
}

// Holder is who has the key, where it is known.
func (q *Tally) Holder() (Claim, bool) { return q.holder, q.taken }
