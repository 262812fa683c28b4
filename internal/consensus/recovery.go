package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

// recovery is the time of a member whose disk is lost: it neither promises, nor
// accepts, nor grants, until it has caught up and one whole lease has passed.
type recovery struct {
	startedAt       clock.Microseconds
	requestedAt     clock.Microseconds
	responses       map[int]Message
	bestLog         Message
	offeredSnapshot Message
	highestTerm     uint64
	// learner says that it has no slot; taught, that a leader gives it a copy, and studied
	// is the highest round that did.
	learner, replicating bool
	leaderTerm           uint64
}

// discardResponse drops what a slot has told, as its content can't be had.
func (r *recovery) discardResponse(slot int) {
	delete(r.responses, slot)
	r.bestLog = r.offeredSnapshot
	for _, response := range r.responses {
		r.considerLog(response)
	}
}

// considerLog keeps the furthest of all answers.
func (r *recovery) considerLog(candidate Message) {
	best := &r.bestLog
	if candidate.IndexRound > best.IndexRound || candidate.IndexRound == best.IndexRound && candidate.Index > best.Index {
		*best = candidate
	}
}

func (r *Replica) startRecovery(now clock.Microseconds) {
	r.recovery = &recovery{startedAt: now, responses: map[int]Message{}}
	r.election.BarTerm(^uint64(0))
}

// OfferSnapshot takes a copy of the part's state that a router kept. It counts only when
// no majority of other slots still has its disk.
func (r *Replica) OfferSnapshot(snapshot wal.Entry) {
	if r.recovery != nil {
		r.recovery.offeredSnapshot = Message{From: r.Self, Base: snapshot, Index: snapshot.Index, IndexRound: snapshot.Round}
		r.observeLog(r.recovery.offeredSnapshot)
	}
}

// ObserveTerm notes a round that was seen in force anywhere: a recovering member ends
// above it.
func (r *Replica) ObserveTerm(term uint64) {
	if r.recovery != nil {
		r.recovery.highestTerm = max(r.recovery.highestTerm, term)
	}
}

func (r *Replica) observeLog(candidate Message) {
	r.recovery.considerLog(candidate)
	r.recovery.highestTerm = max(r.recovery.highestTerm, candidate.Promised, candidate.IndexRound)
}

// handleRecoveryRequest answers only a daemon that has its seat here: whoever then recovers knows
// that these bindings have reached a majority of the others.
func (r *Replica) handleRecoveryRequest(now clock.Microseconds, message Message) {
	if !r.fromMember(message) {
		if r.membership.Seats[message.From].Vacant() {
			r.addRecoveringLearner(now, message)
		}
		return
	}
	if r.role == roleLeader {
		// It takes no part yet, but its seat is not deserted.
		r.followers[message.From].lastContact = now
		r.addRecoveringLearner(now, message)
	}
	response := Message{To: message.From, Kind: MsgRecoveryResponse, Promised: r.PromisedTerm, Commit: r.commitIndex, Recovering: r.recovery != nil}
	response.Index, response.IndexRound = r.LastPosition()
	r.sendAfterSync(r.withContent(response, 0))
}

func (r *Replica) handleRecoveryResponse(now clock.Microseconds, message Message) {
	if r.recovery == nil || !r.fromMember(message) {
		return
	}
	r.recovery.responses[message.From] = message
	r.observeLog(message)
	r.catchUp(now)
	r.continueRecovery(now)
}

// catchUp fetches the best that was told, as far as the answers did not hold it, and says
// whether nothing is lacking.
func (r *Replica) catchUp(now clock.Microseconds) bool {
	best := r.recovery.bestLog
	if r.hasContent(best) {
		return true
	}
	r.startFetch(now, logFetch{fetchPurpose: fetchForRecovery, source: best.From, index: best.Index, indexTerm: best.IndexRound})
	return false
}

func (r *Replica) continueRecovery(now clock.Microseconds) {
	recovery := r.recovery
	if recovery.learner {
		return
	}
	if now-recovery.requestedAt >= r.Delta {
		recovery.requestedAt = now
		for slot := range r.Slots {
			if slot != r.Self {
				r.sendAfterSync(Message{To: slot, Kind: MsgRecoveryRequest})
			}
		}
	}
	complete := 0
	for _, response := range recovery.responses {
		if !response.Recovering {
			complete++
		}
	}
	otherReplicas := r.Slots - 1
	if now-recovery.startedAt < r.LeaseDuration+r.SafetyMargin || complete < otherReplicas/2+1 && len(recovery.responses) < otherReplicas {
		return
	}
	if !r.catchUp(now) {
		return
	}
	r.recovery = nil
	best := recovery.bestLog
	// What a leader has taught meanwhile may be later than what the others told.
	if index, term := r.LastPosition(); best.IndexRound > term || best.IndexRound == term && best.Index > index {
		if best.Base.Index > r.appliedIndex {
			r.installSnapshot(best.Base)
		}
		r.persist(r.merge(r.Shard, best.Entries)...)
	}
	r.refreshMembership()
	r.raisePromisedTerm(recovery.highestTerm)
	r.persist(wal.Record{Kind: wal.RecordPromise, Shard: r.Shard, Entry: wal.Entry{Round: r.PromisedTerm}})
	r.election.LiftBar()
	r.election.BarTerm(recovery.highestTerm)
	r.observeHigherTerm(now, (r.Self+1)%r.Slots, recovery.highestTerm)
}
