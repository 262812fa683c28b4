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
func (recovery *recovery) forget(slot int) {
	delete(recovery.answers, slot)
	recovery.best = recovery.offered
	for _, answer := range recovery.answers {
		recovery.weigh(answer)
	}
}

// weigh keeps the furthest of all answers.
func (recovery *recovery) weigh(found Message) {
	best := &recovery.best
	if found.IndexRound > best.IndexRound || found.IndexRound == best.IndexRound && found.Index > best.Index {
		*best = found
	}
}

func (member *Member) recover(now schedule.Microseconds) {
	member.recovery = &recovery{began: now, answers: map[int]Message{}}
	member.election.Bar(^uint64(0))
}

// Offer takes a copy of the part's state that a router kept. It counts only when
// no majority of other slots still has its disk.
func (member *Member) Offer(copied journal.Entry) {
	if member.recovery != nil {
		member.recovery.offered = Message{From: member.Self, Base: copied, Index: copied.Index, IndexRound: copied.Round}
		member.consider(member.recovery.offered)
	}
}

// Heard notes a round that was seen in force anywhere: a recovering member ends
// above it.
func (member *Member) Heard(round uint64) {
	if member.recovery != nil {
		member.recovery.highest = max(member.recovery.highest, round)
	}
}

func (member *Member) consider(found Message) {
	member.recovery.weigh(found)
	member.recovery.highest = max(member.recovery.highest, found.Promised, found.IndexRound)
}

// tell answers only a daemon that has its seat here: whoever then recovers knows
// that these bindings have reached a majority of the others.
func (member *Member) tell(now schedule.Microseconds, message Message) {
	if !member.sits(message) {
		if member.bindings.Seats[message.From].Vacant() {
			member.admit(now, message)
		}
		return
	}
	if member.stage == leading {
		// It takes no part yet, but its seat is not deserted.
		member.others[message.From].heard = now
		member.admit(now, message)
	}
	answer := Message{To: message.From, Kind: Tell, Promised: member.Promised, Commit: member.commit, Recovering: member.recovery != nil}
	answer.Index, answer.IndexRound = member.Last()
	member.hold(member.complete(answer, 0))
}

func (member *Member) told(now schedule.Microseconds, message Message) {
	if member.recovery == nil || !member.sits(message) {
		return
	}
	member.recovery.answers[message.From] = message
	member.consider(message)
	member.catchUp(now)
	member.recovering(now)
}

// catchUp fetches the best that was told, as far as the answers did not hold it, and says
// whether nothing is lacking.
func (member *Member) catchUp(now schedule.Microseconds) bool {
	best := member.recovery.best
	if member.supplied(best) {
		return true
	}
	member.pull(now, fetch{purpose: forRecovery, from: best.From, index: best.Index, indexRound: best.IndexRound})
	return false
}

func (member *Member) recovering(now schedule.Microseconds) {
	recovery := member.recovery
	if recovery.learner {
		return
	}
	if now-recovery.asked >= member.Delta {
		recovery.asked = now
		for slot := range member.Slots {
			if slot != member.Self {
				member.hold(Message{To: slot, Kind: Ask})
			}
		}
	}
	whole := 0
	for _, answer := range recovery.answers {
		if !answer.Recovering {
			whole++
		}
	}
	others := member.Slots - 1
	if now-recovery.began < member.Lease+member.Margin || whole < others/2+1 && len(recovery.answers) < others {
		return
	}
	if !member.catchUp(now) {
		return
	}
	member.recovery = nil
	best := recovery.best
	// What a leader has taught meanwhile may be later than what the others told.
	if index, round := member.Last(); best.IndexRound > round || best.IndexRound == round && best.Index > index {
		if best.Base.Index > member.applied {
			member.install(best.Base)
		}
		member.record(member.merge(member.Part, best.Entries)...)
	}
	member.rebind()
	member.raise(recovery.highest)
	member.record(journal.Record{Kind: journal.Promise, Part: member.Part, Entry: journal.Entry{Round: member.Promised}})
	member.election.Lift()
	member.election.Bar(recovery.highest)
	member.overtaken(now, (member.Self+1)%member.Slots, recovery.highest)
}
