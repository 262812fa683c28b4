package part

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

// recovery is the time of a member whose disk is lost: it neither promises, nor
// accepts, nor grants, until it has caught up and one whole lease has passed.
type recovery struct {
	began   schedule.Microseconds
	asked   schedule.Microseconds
	answers map[int]Message
	best    Message
	offered Message
	highest uint64
	// learner says that it has no slot; taught, that a leader gives it a copy, and studied
	// is the highest round that did.
	learner, taught bool
	studied         uint64
}

// forget drops what a slot has told, as its content can't be had.
func (r *recovery) forget(slot int) {
	delete(r.answers, slot)
	r.best = r.offered
	for _, answer := range r.answers {
		r.weigh(answer)
	}
}

// weigh keeps the furthest of all answers.
func (r *recovery) weigh(found Message) {
	best := &r.best
	if found.IndexRound > best.IndexRound || found.IndexRound == best.IndexRound && found.Index > best.Index {
		*best = found
	}
}

func (r *Member) recover(now schedule.Microseconds) {
	r.recovery = &recovery{began: now, answers: map[int]Message{}}
	r.election.Bar(^uint64(0))
}

// Offer takes a copy of the part's state that a router kept. It counts only when
// no majority of other slots still has its disk.
func (r *Member) Offer(copied journal.Entry) {
	if r.recovery != nil {
		r.recovery.offered = Message{From: r.Self, Base: copied, Index: copied.Index, IndexRound: copied.Round}
		r.consider(r.recovery.offered)
	}
}

// Heard notes a round that was seen in force anywhere: a recovering member ends
// above it.
func (r *Member) Heard(round uint64) {
	if r.recovery != nil {
		r.recovery.highest = max(r.recovery.highest, round)
	}
}

func (r *Member) consider(found Message) {
	r.recovery.weigh(found)
	r.recovery.highest = max(r.recovery.highest, found.Promised, found.IndexRound)
}

// tell answers only a daemon that has its seat here: whoever then recovers knows
// that these bindings have reached a majority of the others.
func (r *Member) tell(now schedule.Microseconds, message Message) {
	if !r.sits(message) {
		if r.bindings.Seats[message.From].Vacant() {
			r.admit(now, message)
		}
		return
	}
	if r.stage == leading {
		// It takes no part yet, but its seat is not deserted.
		r.others[message.From].heard = now
		r.admit(now, message)
	}
	answer := Message{To: message.From, Kind: Tell, Promised: r.Promised, Commit: r.commit, Recovering: r.recovery != nil}
	answer.Index, answer.IndexRound = r.Last()
	r.hold(r.complete(answer, 0))
}

func (r *Member) told(now schedule.Microseconds, message Message) {
	if r.recovery == nil || !r.sits(message) {
		return
	}
	r.recovery.answers[message.From] = message
	r.consider(message)
	r.catchUp(now)
	r.recovering(now)
}

// catchUp fetches the best that was told, as far as the answers did not hold it, and says
// whether nothing is lacking.
func (r *Member) catchUp(now schedule.Microseconds) bool {
	best := r.recovery.best
	if r.supplied(best) {
		return true
	}
	r.pull(now, fetch{purpose: forRecovery, from: best.From, index: best.Index, indexRound: best.IndexRound})
	return false
}

func (r *Member) recovering(now schedule.Microseconds) {
	recovery := r.recovery
	if recovery.learner {
		return
	}
	if now-recovery.asked >= r.Delta {
		recovery.asked = now
		for slot := range r.Slots {
			if slot != r.Self {
				r.hold(Message{To: slot, Kind: Ask})
			}
		}
	}
	whole := 0
	for _, answer := range recovery.answers {
		if !answer.Recovering {
			whole++
		}
	}
	others := r.Slots - 1
	if now-recovery.began < r.Lease+r.Margin || whole < others/2+1 && len(recovery.answers) < others {
		return
	}
	if !r.catchUp(now) {
		return
	}
	r.recovery = nil
	best := recovery.best
	// What a leader has taught meanwhile may be later than what the others told.
	if index, round := r.Last(); best.IndexRound > round || best.IndexRound == round && best.Index > index {
		if best.Base.Index > r.applied {
			r.install(best.Base)
		}
		r.record(r.merge(r.Part, best.Entries)...)
	}
	r.rebind()
	r.raise(recovery.highest)
	r.record(journal.Record{Kind: journal.Promise, Part: r.Part, Entry: journal.Entry{Round: r.Promised}})
	r.election.Lift()
	r.election.Bar(recovery.highest)
	r.overtaken(now, (r.Self+1)%r.Slots, recovery.highest)
}
