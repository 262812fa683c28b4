package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

// maxTerm is a term that is higher than any term reached in operation.
const maxTerm = ^uint64(0)

// recovery is the state of a replica without a vote: either its disk was lost, or it is a learner.
// Such a replica neither promises, nor accepts, nor grants a lease. After the loss of a disk, the
// recovery ends once the other slots have answered and every lease that this replica may have
// granted has expired.
type recovery struct {
	startedAt   clock.Microseconds
	requestedAt clock.Microseconds
	// responses are the recovery responses of the other slots, by slot.
	responses map[int]Message
	// bestLog is the most advanced log among the responses and offeredSnapshot.
	bestLog         Message
	offeredSnapshot Message
	// progressAt is when this replica last stored something that a leader sent, or was shown by a
	// leader that it lacks nothing.
	progressAt clock.Microseconds
	// highestTerm is the highest term that was observed in responses, in the offered snapshot, or
	// through ObserveTerm.
	highestTerm uint64
	// learner is set if the daemon holds no slot.
	learner bool
	// replicating is set once a leader has sent entries to this replica as learner. leaderTerm is
	// the highest term of such a leader.
	replicating bool
	leaderTerm  uint64
}

// discardResponse drops the response of a slot whose log cannot be fetched.
func (r *recovery) discardResponse(slot int) {
	delete(r.responses, slot)
	r.bestLog = r.offeredSnapshot
	for _, response := range r.responses {
		r.considerLog(response)
	}
}

// considerLog makes a log the best log if it is more advanced than the present one.
func (r *recovery) considerLog(candidate Message) {
	if candidate.position().after(r.bestLog.position()) {
		r.bestLog = candidate
	}
}

// observeLog considers a log, and records the terms that it shows.
func (r *recovery) observeLog(candidate Message) {
	r.considerLog(candidate)
	r.highestTerm = max(r.highestTerm, candidate.PromisedTerm, candidate.IndexTerm)
}

// startRecovery starts the recovery: this replica has no vote from now on, and does not lead.
func (r *Replica) startRecovery(now clock.Microseconds) {
	r.recovery = &recovery{startedAt: now, progressAt: now, responses: map[int]Message{}}
	r.election.BarTerm(maxTerm)
}

// OfferSnapshot offers a recovering replica a copy of the state that a router has kept. The replica
// uses the copy if no other slot has a more advanced log.
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

// ObserveTerm informs a recovering replica of a term that was observed anywhere. The replica will
// promise at least this term.
func (r *Replica) ObserveTerm(term uint64) {
	if r.recovery != nil {
		r.recovery.highestTerm = max(r.recovery.highestTerm, term)
	}
}

// handleRecoveryRequest answers only a daemon that holds its slot under the local membership. The
// answers of a majority of the other slots therefore show a recovering daemon that its membership
// has reached that majority. A leader also makes the daemon a learner if addRecoveringLearner
// allows it.
func (r *Replica) handleRecoveryRequest(now clock.Microseconds, message Message) {
	if !r.fromMember(message) {
		if r.membership.Members[message.From].Vacant() {
			r.addRecoveringLearner(now, message)
		}
		return
	}
	if r.role == roleLeader {
		// The daemon has no vote yet, but its contact shows that its slot is not abandoned.
		r.observeFollower(now, message.From, message.Sender)
		r.leadership.followers[message.From].lastContact = now
		r.addRecoveringLearner(now, message)
	}
	response := Message{
		Kind:         MsgRecoveryResponse,
		PromisedTerm: r.PromisedTerm,
		Commit:       r.commitIndex,
		Recovering:   r.recovery != nil,
	}
	response.Index, response.IndexTerm = r.LastPosition()
	r.reply(message, r.withLogAfter(response, 0))
}

// handleRecoveryResponse records the response of a slot, and continues the recovery.
func (r *Replica) handleRecoveryResponse(now clock.Microseconds, message Message) {
	if r.recovery == nil || !r.fromMember(message) {
		return
	}
	r.recovery.responses[message.From] = message
	r.recovery.observeLog(message)
	r.ensureBestLog(now)
	r.continueRecovery(now)
}

// ensureBestLog reports whether the best log is available without a fetch, and starts to fetch it
// otherwise.
func (r *Replica) ensureBestLog(now clock.Microseconds) bool {
	best := r.recovery.bestLog
	if r.logAvailable(best) {
		return true
	}
	r.startFetch(now, logFetch{
		purpose:      fetchForRecovery,
		source:       best.From,
		sourceDaemon: best.Sender,
		target:       best.position(),
	})
	return false
}

// continueRecovery sends recovery requests to the other slots periodically, and ends the recovery
// once that is safe. A learner waits for a leader instead.
func (r *Replica) continueRecovery(now clock.Microseconds) {
	if r.recovery.learner {
		return
	}
	r.requestRecovery(now)
	if !r.recoveryComplete(now) || !r.ensureBestLog(now) {
		return
	}
	r.finishRecovery(now)
}

// requestRecovery sends a recovery request to all other slots, at most once in each δ.
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

// recoveryComplete reports whether every lease that this replica may have granted has expired, and
// enough other slots have answered: either a majority of the other slots with their disks intact,
// or all other slots. If a response shows a later membership than the local one, the recovery waits
// for that membership: a daemon that has lost its slot may have answered in place of its successor.
func (r *Replica) recoveryComplete(now clock.Microseconds) bool {
	if now-r.recovery.startedAt < r.LeaseDuration+r.SafetyMargin {
		return false
	}
	answered, withDisk := 0, 0
	for slot, response := range r.recovery.responses {
		if response.Epoch > r.membership.Epoch {
			return false
		}
		if !r.membership.isVoter(slot, response.Sender) {
			continue
		}
		answered++
		if !response.Recovering {
			withDisk++
		}
	}
	others := r.Slots - 1
	return withDisk >= majority(others) || answered >= others
}

// AdoptMembership gives a replica without a vote a later membership than the local log has. The log
// of such a replica may end long before the present membership; the daemons of that time may be
// gone, and their slots be held by others. A voter takes memberships from its log alone.
func (r *Replica) AdoptMembership(now clock.Microseconds, membership Membership) Output {
	if r.recovery == nil || membership.Epoch <= r.membership.Epoch || len(membership.Members) != r.Slots {
		return Output{}
	}
	r.InitialMembership = membership
	r.refreshMembership()
	r.recovery.requestedAt = 0
	r.updateRole(now)
	return r.takeOutput()
}

// finishRecovery adopts the best log and makes this replica a voter. The replica promises the
// highest observed term, and does not lead in any term up to that one.
func (r *Replica) finishRecovery(now clock.Microseconds) {
	best, term := r.recovery.bestLog, r.recovery.highestTerm
	r.recovery = nil
	// The local log may be more advanced already, by entries that a leader has sent meanwhile.
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
	// The election accepts messages only from other slots. For a START it does not matter which
	// slot sent it.
	anotherSlot := (r.Self + 1) % r.Slots
	r.observeHigherTerm(now, anotherSlot, term)
}
