package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

// role is what a replica does in the replication of the log.
type role uint8

const (
	roleFollower role = iota
	// roleCandidate is elected and collects promises.
	roleCandidate
	// roleLeader has the promises of a majority.
	roleLeader
)

// updateRole brings the role in line with the election, and does what is due by time in that
// role. It is called at the end of each step.
func (r *Replica) updateRole(now clock.Microseconds) {
	leader, term := r.election.Leader()
	r.retryFetch(now)
	if r.recovery != nil {
		r.continueRecovery(now)
		return
	}
	if r.role != roleFollower && (term != r.ownTerm || r.PromisedTerm > r.ownTerm) {
		r.becomeFollower()
	}
	switch {
	case r.role == roleFollower:
		if leader == r.Self && term >= r.PromisedTerm {
			r.prepare(now, term)
		}
	case r.role == roleCandidate:
		if r.transfer.fetch == nil && r.prepareTimedOut(now) {
			r.prepare(now, term)
		}
	case r.election.Isolated():
		// Followers must see that this leader is gone, and must not renew its lease.
	case r.role == roleLeader:
		r.replicate(now)
		r.replicateToLearner(now)
		r.releaseResults(now)
	}
}

func (r *Replica) becomeFollower() {
	r.output.ProposalsDropped = r.role == roleLeader
	r.role = roleFollower
	r.candidacy.promises = nil
	r.leadership.lease = nil
	r.leadership.learner = nil
}

// observeHigherTerm tells the election of a higher term that another slot has promised. Its
// sender's election has been in that term, so this counts like a START of it.
func (r *Replica) observeHigherTerm(now clock.Microseconds, from int, term uint64) {
	start := election.Message{Kind: election.START, Term: term}
	r.sendElection(r.election.Receive(now, from, start))
}

// observePromised tells the election of the sender's promise, if that is higher than the term
// that a response is for and than the promise here.
func (r *Replica) observePromised(now clock.Microseconds, response Message) {
	if response.PromisedTerm > max(response.Term, r.PromisedTerm) {
		r.observeHigherTerm(now, response.From, response.PromisedTerm)
	}
}
