package consensus

import "coursepass/internal/clock"

const (
	// replicationWait is how long a result waits for followers that are in good contact.
	replicationWait = 300 * clock.Millisecond
	// goodContactDivisor is the part of the lease duration within which a follower that is in
	// good contact has answered.
	goodContactDivisor = 2
)

// commitQuorum commits what a majority stores, provided that it reaches into the own term, and
// releases the results that a majority knows to be committed.
func (r *Replica) commitQuorum(now clock.Microseconds) {
	stored := r.quorumIndex(func(peer progress) uint64 { return peer.matchIndex })
	if stored >= r.leadership.firstTermIndex {
		r.commitTo(stored)
		r.upToDate = true
	}
	known := r.quorumIndex(func(peer progress) uint64 { return peer.knownCommit })
	if known > r.leadership.quorumCommitIndex {
		if !r.resultsReleasable() {
			r.leadership.replicationWaitSince = now
		}
		r.leadership.quorumCommitIndex = known
	}
	r.releaseResults(now)
}

// quorumIndex returns the highest index that a majority of slots has reached.
func (r *Replica) quorumIndex(index func(progress) uint64) uint64 {
	highest := uint64(0)
	for _, candidate := range r.leadership.followers {
		count := 0
		for _, peer := range r.leadership.followers {
			if index(peer) >= index(candidate) {
				count++
			}
		}
		if count >= r.majority() {
			highest = max(highest, index(candidate))
		}
	}
	return highest
}

// resultsReleasable reports whether a majority knows that the first pending result is committed.
func (r *Replica) resultsReleasable() bool {
	results := r.leadership.pendingResults
	return len(results) > 0 && results[0].Index <= r.leadership.quorumCommitIndex
}

// releaseResults releases the results that a majority knows to be committed. While the other
// slots are in good contact it waits a little for them to know it too, so that an entry is not
// lost with the few that store it.
func (r *Replica) releaseResults(now clock.Microseconds) {
	if !r.resultsReleasable() {
		return
	}
	releasable := r.leadership.quorumCommitIndex
	for slot := range r.leadership.followers {
		peer := &r.leadership.followers[slot]
		switch {
		case peer.knownCommit >= r.leadership.quorumCommitIndex:
			peer.lagging = false
		case peer.lagging || !r.inGoodContact(now, slot):
		case now-r.leadership.replicationWaitSince >= replicationWait:
			peer.lagging = true
		default:
			releasable = min(releasable, peer.knownCommit)
		}
	}
	r.releaseResultsTo(releasable)
}

// inGoodContact reports whether a slot has a daemon that has answered lately.
func (r *Replica) inGoodContact(now clock.Microseconds, slot int) bool {
	return !r.membership.Members[slot].Vacant() && r.SinceLastContact(now, slot) <= r.LeaseDuration/goodContactDivisor
}

// releaseResultsTo moves the pending results up to an index to the output.
func (r *Replica) releaseResultsTo(index uint64) {
	results := r.leadership.pendingResults
	count := 0
	for count < len(results) && results[count].Index <= index {
		count++
	}
	r.output.Results = append(r.output.Results, results[:count]...)
	r.leadership.pendingResults = results[count:]
}
