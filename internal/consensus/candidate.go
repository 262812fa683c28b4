package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

// prepareTimeoutDeltas is the time that a candidate waits for promises before it asks again, in
// multiples of δ.
const prepareTimeoutDeltas = 2

// candidacy is the state of a candidate.
type candidacy struct {
	// promises holds the promises received for ownTerm, by slot.
	promises   map[int]Message
	preparedAt clock.Microseconds
}

// prepare makes this replica candidate of a term, and asks all slots, including its own, to promise
// the term.
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

// handlePromise records a promise. Once the candidate has its own promise and those of a majority,
// it adopts the most advanced log among them and becomes leader.
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
	if best.From != r.Self && !r.logAvailable(best) {
		r.startFetch(now, logFetch{
			purpose:      fetchForCandidate,
			source:       best.From,
			sourceDaemon: best.Sender,
			term:         r.ownTerm,
			target:       best.position(),
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

// mostAdvancedPromise returns the promise with the most advanced log. If several are equally
// advanced and the latest promise is among them, it returns the latest.
func (r *Replica) mostAdvancedPromise(latest Message) Message {
	best := latest
	for _, promise := range r.candidacy.promises {
		if promise.position().after(best.position()) {
			best = promise
		}
	}
	return best
}

// promisesFormQuorum reports whether the promises form a majority under the membership of the log
// that the candidate would adopt. Promises of daemons that hold no slot in that membership do not
// count. The candidate itself must hold its slot in it too.
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

// membershipOf returns the last membership in the log that a message contains, and false if there
// is none.
func membershipOf(message Message) (Membership, bool) {
	return LatestMembership(wal.ShardState{Snapshot: message.Snapshot, Entries: message.Entries})
}

// adoptLog replaces the local log by that of a promise. Entries of the local log beyond it are not
// committed, and are dropped.
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
