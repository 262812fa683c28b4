package consensus

import "coursepass/internal/clock"

const (
	// maxReplicationWait is the maximum time that a result waits for responsive followers to learn
	// that its entry is committed.
	maxReplicationWait = 300 * clock.Millisecond
	// responsiveLeaseDivisor divides the lease duration: a follower is responsive if it has
	// answered within this fraction of a lease duration.
	responsiveLeaseDivisor = 2
)

// commitQuorum commits the entries that a majority stores, provided that the last of them is of
// this leader's own term, and releases the results of entries that a majority knows to be
// committed.
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

// quorumIndex returns the highest value that a majority of slots has reached of the index that the
// function extracts.
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

// resultsReleasable reports whether a majority knows that the entry of the first pending result is
// committed.
func (r *Replica) resultsReleasable() bool {
	results := r.leadership.pendingResults
	return len(results) > 0 && results[0].Index <= r.leadership.quorumCommitIndex
}

// releaseResults releases the results of entries that a majority knows to be committed. It waits up
// to maxReplicationWait for the other responsive slots to know this too, so that the entry survives
// the loss of the few slots that store it.
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
		case peer.lagging || !r.isResponsive(now, slot):
		case now-r.leadership.replicationWaitSince >= maxReplicationWait:
			peer.lagging = true
		default:
			releasable = min(releasable, peer.knownCommit)
		}
	}
	r.releaseResultsTo(releasable)
}

// isResponsive reports whether a slot has a member that has answered recently.
func (r *Replica) isResponsive(now clock.Microseconds, slot int) bool {
	return !r.membership.Members[slot].Vacant() && r.SinceLastContact(now, slot) <= r.LeaseDuration/responsiveLeaseDivisor
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
