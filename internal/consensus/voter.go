package consensus

import "coursepass/internal/clock"

// raisePromisedTerm promises a term, unless this replica has already promised it or a higher one.
func (r *Replica) raisePromisedTerm(term uint64) {
	if term > r.PromisedTerm {
		r.PromisedTerm = term
		r.persistPromise()
	}
}

// exceedsElectionTerm reports whether a term is higher than the term of this replica's election. A
// message of such a term may be arbitrarily old. The replica drops it, so that the promised term
// never exceeds the term of the election.
func (r *Replica) exceedsElectionTerm(term uint64) bool {
	_, electionTerm := r.election.Leader()
	return term > electionTerm
}

// handlePrepare promises a candidate its term, or rejects the request and reports the higher term
// that this replica has promised.
func (r *Replica) handlePrepare(message Message) {
	if r.recovery != nil || r.exceedsElectionTerm(message.Term) {
		return
	}
	response := Message{Kind: MsgPromise, Term: message.Term, PromisedTerm: r.PromisedTerm}
	if message.Term >= r.PromisedTerm {
		r.raisePromisedTerm(message.Term)
		response.Accepted = true
		response.PromisedTerm = r.PromisedTerm
		response.Commit = r.commitIndex
		response.Index, response.IndexTerm = r.LastPosition()
		response = r.withLogAfter(response, message.Index)
	}
	r.reply(message, response)
}

// handleAppend stores the entries that a leader sends, and grants its lease.
func (r *Replica) handleAppend(now clock.Microseconds, message Message) {
	if r.recovery != nil && message.Learner && message.Receiver == r.LocalMember.Identity {
		r.appendAsLearner(now, message)
		return
	}
	if r.recovery != nil || r.exceedsElectionTerm(message.Term) {
		return
	}
	response := r.newAppendResponse(message)
	response.PromisedTerm = r.PromisedTerm
	if message.Term < r.PromisedTerm {
		r.reply(message, response)
		return
	}
	r.raisePromisedTerm(message.Term)
	r.leaderContactAt = now
	response.PromisedTerm = r.PromisedTerm
	if !r.storeAppend(now, message, &response, fetchForFollower) {
		r.reply(message, response)
		return
	}
	if message.From != r.Self {
		r.commitTo(min(message.Commit, response.Index))
		if r.hasAllAcknowledged(message) {
			r.upToDate = true
		}
	}
	response.Commit = r.commitIndex
	response.Granted = r.leaseGranter.HandleRequest(now, message.Term)
	r.reply(message, response)
}

// newAppendResponse returns a MsgAppendResponse without acceptance; the caller sets Accepted if it
// stores the entries.
func (r *Replica) newAppendResponse(message Message) Message {
	return Message{
		Kind:        MsgAppendResponse,
		Term:        message.Term,
		RequestedAt: message.RequestedAt,
		Incarnation: r.Incarnation,
	}
}

// storeAppend stores the entries or the snapshot of a MsgAppend, completes the response, and
// reports whether the local log contains the entry before the sent ones. If it does not, and the
// leader announces a snapshot, storeAppend starts to fetch that snapshot.
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
				sourceDaemon: message.Sender,
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

// hasAllAcknowledged reports whether this replica, after handling a MsgAppend, has all entries that
// were acknowledged before the message was sent, as far as its sender knows them. A MsgAppend to an
// earlier incarnation does not show this: the message may be old, and the knowledge of that earlier
// incarnation may have counted towards acknowledgements that the present incarnation does not know
// of.
func (r *Replica) hasAllAcknowledged(message Message) bool {
	return message.Established && message.Incarnation == r.Incarnation && r.commitIndex >= message.Commit
}
