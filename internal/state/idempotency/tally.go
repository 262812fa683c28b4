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
func (tally *Tally) Hear(now schedule.Microseconds, answer Answer) {
	if answer.Slot < 0 || answer.Slot >= tally.Slots {
		return
	}
	if answer.Epoch > tally.epoch {
		tally.epoch = answer.Epoch
	}
	tally.answers[answer.Slot] = answer
	if answer.Verdict == Taken {
		tally.taken, tally.holder = true, answer.Holder
	}
	tally.Outcome(now)
}

// Miss notes that a seat can't be heard.
func (tally *Tally) Miss(slot int) { tally.silent[slot] = true }

func (tally *Tally) majority() int { return tally.Slots/2 + 1 }

// count is how many grants count, and how many seats may still answer.
func (tally *Tally) count() (granted, left int) {
	for slot := range tally.Slots {
		answer, heard := tally.answers[slot]
		switch {
		case heard && answer.Epoch == tally.epoch && answer.Verdict == Granted:
			granted++
		case !heard && !tally.silent[slot]:
			left++
		}
	}
	return granted, left
}

// Outcome is what the answers so far say. A majority counts only if it was there inside
// the budget, on this claimant's clock: a seat that starts anew relies on it. An outcome
// once told stands, as the grants of a claim that is not won are released.
func (tally *Tally) Outcome(now schedule.Microseconds) Outcome {
	if tally.ended == Open {
		tally.ended = tally.decide(now)
	}
	return tally.ended
}

func (tally *Tally) decide(now schedule.Microseconds) Outcome {
	granted, left := tally.count()
	inTime := now-tally.begun < Budget
	switch {
	case inTime && granted >= tally.majority():
		return Won
	case inTime && granted+left >= tally.majority():
		return Open
	case inTime && tally.precedes(granted+left):
		return Open
	case tally.taken:
		return Lost
	}
	return Unheard
}

// precedes tells whether this claimant may yet win, with so many seats of its own or
// unheard: the others have no majority, all of them yield to its name, and the seats
// that they would release are enough.
func (tally *Tally) precedes(own int) bool {
	held := map[Name]int{}
	for _, answer := range tally.answers {
		if answer.Verdict != Taken || answer.Epoch != tally.epoch {
			continue
		}
		other := answer.Holder.By
		held[other]++
		if other.Precedes(tally.self) || held[other] >= tally.majority() {
			return false
		}
		own++
	}
	return own >= tally.majority()
}

// Contested tells whether a seat that was taken is to be asked again.
func (tally *Tally) Contested(now schedule.Microseconds, slot int) bool {
	return tally.answers[slot].Verdict == Taken && tally.Outcome(now) == Open
}

// Withdraw ends a claim that was not won: no grant counts any more.
func (tally *Tally) Withdraw() {
	if tally.ended == Open {
		tally.ended = Lost
	}
}

// Holder is who has the key, where it is known.
func (tally *Tally) Holder() (Claim, bool) { return tally.holder, tally.taken }
