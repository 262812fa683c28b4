package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

// role is the function of a replica in the replication of the log.
type role uint8

const (
	roleFollower role = iota
	// roleCandidate is the role of a replica that is elected and collects promises.
	roleCandidate
	// roleLeader is the role of a replica that has the promises of a majority.
	roleLeader
)

// updateRole updates the role according to the election, and does the work of that role that is due
// at now. It is called at the end of each step.
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
		// An isolated leader sends nothing, so that its followers detect its loss and do not renew
		// its lease.
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

// observeHigherTerm informs the election of a higher term that another slot has promised. The
// election of that slot has been in the term, so the promise counts like a START of the term.
func (r *Replica) observeHigherTerm(now clock.Microseconds, from int, term uint64) {
	start := election.Message{Kind: election.START, Term: term}
	r.sendElection(r.election.Receive(now, from, start))
}

// observePromised informs the election of the sender's promised term, if it is higher than both the
// term of the response and the term promised locally.
func (r *Replica) observePromised(now clock.Microseconds, response Message) {
	if response.PromisedTerm > max(response.Term, r.PromisedTerm) {
		r.observeHigherTerm(now, response.From, response.PromisedTerm)
	}
}
