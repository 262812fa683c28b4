package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

func (r *Replica) raisePromisedTerm(term uint64) {
	if term > r.PromisedTerm {
		r.PromisedTerm = term
		r.persist(wal.Record{Kind: wal.RecordPromise, Shard: r.Shard, Entry: wal.Entry{Round: term}})
	}
}

// aheadOfElection tells whether a message is of a round that the election here has not
// reached. Such a message may be arbitrarily old; it is dropped, so that the
// promise never passes the election, which alone may move to a higher round.
func (r *Replica) aheadOfElection(term uint64) bool {
	_, electionTerm := r.election.Leader()
	return term > electionTerm
}

func (r *Replica) handlePrepare(message Message) {
	if r.recovery != nil || r.aheadOfElection(message.Round) {
		return
	}
	response := Message{To: message.From, Kind: MsgPromise, Round: message.Round, Promised: r.PromisedTerm}
	if message.Round >= r.PromisedTerm {
		r.raisePromisedTerm(message.Round)
		response.Accepted, response.Promised, response.Commit = true, r.PromisedTerm, r.commitIndex
		response.Index, response.IndexRound = r.LastPosition()
		response = r.withContent(response, message.Index)
	}
	r.sendAfterSync(response)
}

func (r *Replica) handleAppend(now clock.Microseconds, message Message) {
	if r.recovery != nil && message.Learner {
		r.appendAsLearner(now, message)
		return
	}
	if r.recovery != nil || r.aheadOfElection(message.Round) {
		return
	}
	response := Message{
		To: message.From, Kind: MsgAppendResponse, Round: message.Round, Asked: message.Asked, Promised: r.PromisedTerm, Life: r.Incarnation,
	}
	if message.Round < r.PromisedTerm {
		r.sendAfterSync(response)
		return
	}
	r.raisePromisedTerm(message.Round)
	r.leaderContactAt = now
	response.Promised = r.PromisedTerm
	if message.Base.Index > r.appliedIndex {
		r.installSnapshot(message.Base)
	}
	if !r.matches(message.Index, message.IndexRound) {
		if message.Snapshot > r.appliedIndex {
			r.startFetch(now, logFetch{fetchPurpose: fetchForFollower, source: message.From, term: message.Round, index: message.Snapshot, appendSentAt: message.Asked})
		}
		last, _ := r.LastPosition()
		response.Index = min(last, message.Index-1, max(r.commitIndex, r.Snapshot.Index))
		r.sendAfterSync(response)
		return
	}
	if records := r.merge(r.Shard, message.Entries); len(records) > 0 {
		r.persist(records...)
		r.refreshMembership()
	}
	response.Accepted, response.Index = true, message.Index+uint64(len(message.Entries))
	if message.From != r.Self {
		r.commitTo(min(message.Commit, response.Index))
		// An Append to an earlier life may be old: what that life knew may have
		// been counted for acknowledgements that this one has not heard of.
		if message.Established && message.Life == r.Incarnation && r.commitIndex >= message.Commit {
			r.upToDate = true
		}
	}
	response.Commit = r.commitIndex
	response.Granted = r.leaseGranter.HandleRequest(now, message.Round)
	r.sendAfterSync(response)
}
