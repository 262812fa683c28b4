package consensus

import "coursepass/internal/clock"

// raisePromisedTerm promises a term, unless a higher one is promised.
func (r *Replica) raisePromisedTerm(term uint64) {
	if term > r.PromisedTerm {
		r.PromisedTerm = term
		r.persistPromise()
	}
}

// aheadOfElection reports whether a term is one that the election here has not reached. A
// message of such a term may be arbitrarily old and is dropped, so that the promise never
// exceeds the election's term.
func (r *Replica) aheadOfElection(term uint64) bool {
	_, electionTerm := r.election.Leader()
	return term > electionTerm
}

// handlePrepare promises a candidate its term, or tells it of a higher promise.
func (r *Replica) handlePrepare(message Message) {
	if r.recovery != nil || r.aheadOfElection(message.Term) {
		return
	}
	response := Message{To: message.From, Kind: MsgPromise, Term: message.Term, PromisedTerm: r.PromisedTerm}
	if message.Term >= r.PromisedTerm {
		r.raisePromisedTerm(message.Term)
		response.Accepted = true
		response.PromisedTerm = r.PromisedTerm
		response.Commit = r.commitIndex
		response.Index, response.IndexTerm = r.LastPosition()
		response = r.withContent(response, message.Index)
	}
	r.sendAfterSync(response)
}

// handleAppend stores the entries of a leader, and grants its lease.
func (r *Replica) handleAppend(now clock.Microseconds, message Message) {
	if r.recovery != nil && message.Learner {
		r.appendAsLearner(now, message)
		return
	}
	if r.recovery != nil || r.aheadOfElection(message.Term) {
		return
	}
	response := r.newAppendResponse(message)
	response.PromisedTerm = r.PromisedTerm
	if message.Term < r.PromisedTerm {
		r.sendAfterSync(response)
		return
	}
	r.raisePromisedTerm(message.Term)
	r.leaderContactAt = now
	response.PromisedTerm = r.PromisedTerm
	if !r.storeAppend(now, message, &response, fetchForFollower) {
		r.sendAfterSync(response)
		return
	}
	if message.From != r.Self {
		r.commitTo(min(message.Commit, response.Index))
		if r.coversAcknowledged(message) {
			r.upToDate = true
		}
	}
	response.Commit = r.commitIndex
	response.Granted = r.leaseGranter.HandleRequest(now, message.Term)
	r.sendAfterSync(response)
}

// newAppendResponse returns a response to an Append that has not been accepted.
func (r *Replica) newAppendResponse(message Message) Message {
	return Message{
		To:          message.From,
		Kind:        MsgAppendResponse,
		Term:        message.Term,
		RequestedAt: message.RequestedAt,
		Incarnation: r.Incarnation,
	}
}

// storeAppend stores the content of an Append, completes the response, and reports whether the
// entries follow what is stored here. If they do not, it starts to fetch the leader's snapshot if
// the leader announces one.
func (r *Replica) storeAppend(
	now clock.Microseconds, message Message, response *Message, purpose fetchPurpose,
) (accepted bool) {
	if message.Snapshot.Index > r.appliedIndex {
		r.installSnapshot(message.Snapshot)
	}
	if !r.matches(message.position()) {
		if message.SnapshotIndex > r.appliedIndex {
			r.startFetch(now, logFetch{
				purpose:      purpose,
				source:       message.From,
				term:         message.Term,
				target:       logPosition{index: message.SnapshotIndex},
				appendSentAt: message.RequestedAt,
			})
		}
		last, _ := r.LastPosition()
		response.Index = min(last, message.Index-1, max(r.commitIndex, r.Snapshot.Index))
		return false
	}
	if records := r.merge(r.Shard, message.Entries); len(records) > 0 {
		r.persist(records...)
		r.refreshMembership()
	}
	response.Accepted = true
	response.Index = message.Index + uint64(len(message.Entries))
	return true
}

// coversAcknowledged reports whether this replica has, with an Append, all that was acknowledged
// before. An Append to an earlier incarnation does not show that: it may be old, and what that
// incarnation knew may have been counted for acknowledgements that this one does not know of.
func (r *Replica) coversAcknowledged(message Message) bool {
	return message.Established && message.Incarnation == r.Incarnation && r.commitIndex >= message.Commit
}
