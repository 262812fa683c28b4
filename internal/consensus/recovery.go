package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

// highestTerm is higher than any term that is reached.
const highestTerm = ^uint64(0)

// recovery is the state of a replica without a vote: its disk is lost, or it is a learner. It
// neither promises, nor accepts, nor grants a lease. After the loss of its disk that ends once
// the others have answered and what it may have granted has expired.
type recovery struct {
	startedAt   clock.Microseconds
	requestedAt clock.Microseconds
	// responses are the answers of the other slots.
	responses map[int]Message
	// bestLog is the most advanced log among the responses and the offered snapshot.
	bestLog         Message
	offeredSnapshot Message
	// highestTerm is the highest term that was seen anywhere.
	highestTerm uint64
	// learner is set if the daemon holds no slot.
	learner bool
	// replicating is set once a leader sends its log; leaderTerm is the highest term that did.
	replicating bool
	leaderTerm  uint64
}

// discardResponse drops the response of a slot whose content can't be fetched.
func (r *recovery) discardResponse(slot int) {
	delete(r.responses, slot)
	r.bestLog = r.offeredSnapshot
	for _, response := range r.responses {
		r.considerLog(response)
	}
}

// considerLog makes a log the best one if it is the most advanced so far.
func (r *recovery) considerLog(candidate Message) {
	if candidate.position().after(r.bestLog.position()) {
		r.bestLog = candidate
	}
}

// observeLog considers a log and the terms that it shows.
func (r *recovery) observeLog(candidate Message) {
	r.considerLog(candidate)
	r.highestTerm = max(r.highestTerm, candidate.PromisedTerm, candidate.IndexTerm)
}

// startRecovery takes the vote from this replica, and bars it from leading.
func (r *Replica) startRecovery(now clock.Microseconds) {
	r.recovery = &recovery{startedAt: now, responses: map[int]Message{}}
	r.election.BarTerm(highestTerm)
}

// OfferSnapshot offers a recovering replica a copy of the state that a router kept. It is used if
// no other slot has a more advanced log.
func (r *Replica) OfferSnapshot(snapshot wal.Entry) {
	if r.recovery == nil {
		return
	}
	r.recovery.offeredSnapshot = Message{
		From:      r.Self,
		Snapshot:  snapshot,
		Index:     snapshot.Index,
		IndexTerm: snapshot.Term,
	}
	r.recovery.observeLog(r.recovery.offeredSnapshot)
}

// ObserveTerm tells a recovering replica of a term that was seen anywhere: it will promise at
// least that one.
func (r *Replica) ObserveTerm(term uint64) {
	if r.recovery != nil {
		r.recovery.highestTerm = max(r.recovery.highestTerm, term)
	}
}

// handleRecoveryRequest answers a daemon that holds its slot under the membership here: so a
// daemon that recovers knows that its membership has reached a majority of the others.
func (r *Replica) handleRecoveryRequest(now clock.Microseconds, message Message) {
	if !r.fromMember(message) {
		if r.membership.Members[message.From].Vacant() {
			r.addRecoveringLearner(now, message)
		}
		return
	}
	if r.role == roleLeader {
		// It has no vote yet, but its slot is not abandoned.
		r.leadership.followers[message.From].lastContact = now
		r.addRecoveringLearner(now, message)
	}
	response := Message{
		To:           message.From,
		Kind:         MsgRecoveryResponse,
		PromisedTerm: r.PromisedTerm,
		Commit:       r.commitIndex,
		Recovering:   r.recovery != nil,
	}
	response.Index, response.IndexTerm = r.LastPosition()
	r.sendAfterSync(r.withContent(response, 0))
}

// handleRecoveryResponse records the answer of a slot.
func (r *Replica) handleRecoveryResponse(now clock.Microseconds, message Message) {
	if r.recovery == nil || !r.fromMember(message) {
		return
	}
	r.recovery.responses[message.From] = message
	r.recovery.observeLog(message)
	r.catchUp(now)
	r.continueRecovery(now)
}

// catchUp starts to fetch the best log if no response holds it, and reports whether nothing has to
// be fetched.
func (r *Replica) catchUp(now clock.Microseconds) bool {
	best := r.recovery.bestLog
	if r.hasContent(best) {
		return true
	}
	r.startFetch(now, logFetch{purpose: fetchForRecovery, source: best.From, target: best.position()})
	return false
}

// continueRecovery asks the other slots again from time to time, and ends the recovery when that
// is safe. A learner waits for a leader instead.
func (r *Replica) continueRecovery(now clock.Microseconds) {
	if r.recovery.learner {
		return
	}
	r.requestRecovery(now)
	if !r.recoveryComplete(now) || !r.catchUp(now) {
		return
	}
	r.finishRecovery(now)
}

// requestRecovery asks all other slots, once in each δ.
func (r *Replica) requestRecovery(now clock.Microseconds) {
	if now-r.recovery.requestedAt < r.Delta {
		return
	}
	r.recovery.requestedAt = now
	for slot := range r.Slots {
		if slot != r.Self {
			r.sendAfterSync(Message{To: slot, Kind: MsgRecoveryRequest})
		}
	}
}

// recoveryComplete reports whether each lease that was granted here has expired, and a majority of
// the other slots that still have their disks, or else all other slots, have answered.
func (r *Replica) recoveryComplete(now clock.Microseconds) bool {
	if now-r.recovery.startedAt < r.LeaseDuration+r.SafetyMargin {
		return false
	}
	withDisk := 0
	for _, response := range r.recovery.responses {
		if !response.Recovering {
			withDisk++
		}
	}
	others := r.Slots - 1
	return withDisk >= majority(others) || len(r.recovery.responses) >= others
}

// finishRecovery takes over the best log and makes this replica a voter that promises the highest
// term that was seen, and does not lead any up to it.
func (r *Replica) finishRecovery(now clock.Microseconds) {
	best, term := r.recovery.bestLog, r.recovery.highestTerm
	r.recovery = nil
	// What a leader has sent meanwhile may be more advanced.
	if !r.logReaches(best.position()) {
		if best.Snapshot.Index > r.appliedIndex {
			r.installSnapshot(best.Snapshot)
		}
		r.persist(r.merge(r.Shard, best.Entries)...)
	}
	r.refreshMembership()
	r.raisePromisedTerm(term)
	r.persistPromise()
	r.election.LiftBar()
	r.election.BarTerm(term)
	// The election takes messages of other slots only; which one does not matter for a START.
	anotherSlot := (r.Self + 1) % r.Slots
	r.observeHigherTerm(now, anotherSlot, term)
}
