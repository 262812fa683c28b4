package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

// prepareTimeoutDeltas is for how many δ a candidate waits for promises before it asks again.
const prepareTimeoutDeltas = 2

// candidacy is the state of a candidate.
type candidacy struct {
	// promises are the promises of the own term, by slot.
	promises   map[int]Message
	preparedAt clock.Microseconds
}

// prepare becomes candidate of a term and asks all slots for their promises, this one included.
func (r *Replica) prepare(now clock.Microseconds, term uint64) {
	r.role = roleCandidate
	r.ownTerm = term
	r.candidacy = candidacy{promises: map[int]Message{}, preparedAt: now}
	for slot := range r.Slots {
		message := Message{From: r.Self, To: slot, Kind: MsgPrepare, Term: term, Index: r.commitIndex}
		if slot == r.Self {
			r.handlePrepare(message)
			continue
		}
		r.send(message)
	}
}

func (r *Replica) prepareTimedOut(now clock.Microseconds) bool {
	return now-r.candidacy.preparedAt > prepareTimeoutDeltas*r.Delta
}

// handlePromise collects a promise. With the own promise and those of a majority, the candidate
// takes over the most advanced log among them and becomes leader.
func (r *Replica) handlePromise(now clock.Microseconds, message Message) {
	r.observePromised(now, message)
	if r.role != roleCandidate || message.Term != r.ownTerm || !message.Accepted || !r.fromMember(message) {
		return
	}
	promises := r.candidacy.promises
	promises[message.From] = message
	if _, hasOwnPromise := promises[r.Self]; !hasOwnPromise || len(promises) < r.majority() {
		return
	}
	best := r.mostAdvancedPromise(message)
	if best.From != r.Self && !r.hasContent(best) {
		r.startFetch(now, logFetch{
			purpose: fetchForCandidate,
			source:  best.From,
			term:    r.ownTerm,
			target:  best.position(),
		})
		return
	}
	if !r.promisesFormQuorum(best) {
		return
	}
	if best.From != r.Self {
		r.adoptLog(best)
	}
	r.becomeLeader(now)
}

// mostAdvancedPromise returns the promise with the most advanced log; the latest one if it is not
// behind any.
func (r *Replica) mostAdvancedPromise(latest Message) Message {
	best := latest
	for _, promise := range r.candidacy.promises {
		if promise.position().after(best.position()) {
			best = promise
		}
	}
	return best
}

// promisesFormQuorum reports whether the promises are of a majority under the membership of the
// log that they make this candidate adopt: daemons that hold no slot there do not count.
func (r *Replica) promisesFormQuorum(best Message) bool {
	membership := r.membership
	if best.From != r.Self {
		adopted, ok := membershipOf(best)
		if ok && adopted.Epoch > membership.Epoch {
			membership = adopted
		}
	}
	count := 0
	for slot, promise := range r.candidacy.promises {
		if membership.isVoter(slot, promise.Sender) {
			count++
		}
	}
	return count >= r.majority() && membership.Slot(r.LocalMember) == r.Self
}

// membershipOf returns the last membership in the log that a message carries.
func membershipOf(message Message) (Membership, bool) {
	return LatestMembership(wal.ShardState{Snapshot: message.Snapshot, Entries: message.Entries})
}

// adoptLog takes over the log of a promise. What this replica has beyond it is not committed, and
// is dropped.
func (r *Replica) adoptLog(best Message) {
	if best.Snapshot.Index > r.appliedIndex {
		r.installSnapshot(best.Snapshot)
	}
	r.persist(r.merge(r.Shard, best.Entries)...)
	if last, _ := r.LastPosition(); last > best.Index {
		r.Entries = r.Entries[:best.Index-r.Snapshot.Index]
	}
	r.refreshMembership()
}
