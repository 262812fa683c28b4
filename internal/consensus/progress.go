package consensus

import "coursepass/internal/clock"

// progress is what a leader knows of the replica of one follower or learner.
type progress struct {
	// member is the daemon that has answered for the slot.
	member Member
	// incarnation is the last known incarnation of that daemon, or 0 if none is known.
	incarnation uint64
	// matchIndex is the last index that the replica is known to store, nextIndex is the index of
	// the next entry to send, and knownCommit is the replica's commit index.
	matchIndex, nextIndex, knownCommit uint64
	lastContact                        clock.Microseconds
	// lastSent is the time at which the last MsgAppend was sent. It identifies that message in the
	// response.
	lastSent clock.Microseconds
	// inFlight is set while that MsgAppend is unanswered. inFlightBytes is its size.
	inFlight      bool
	inFlightBytes int
	// fetchingSnapshot is set while the replica fetches the snapshot.
	fetchingSnapshot bool
	// lagging is set if a result has waited maxReplicationWait for this replica, and the replica
	// has not caught up since.
	lagging bool
}

// newProgress returns the progress of a daemon whose log is not known.
func (r *Replica) newProgress(now clock.Microseconds, daemon Member) progress {
	return progress{nextIndex: r.Snapshot.Index + 1, member: daemon, lastContact: now}
}

// recordResponse updates the progress from the response to a MsgAppend, and reports whether the
// MsgAppend was accepted.
func (p *progress) recordResponse(message Message) (accepted bool) {
	if message.RequestedAt == p.lastSent {
		p.inFlight = false
	}
	if !message.Accepted {
		p.nextIndex = min(p.nextIndex, message.Index+1)
		return false
	}
	p.fetchingSnapshot = false
	p.matchIndex = max(p.matchIndex, message.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.knownCommit = max(p.knownCommit, message.Commit)
	return true
}

// heartbeatInterval returns the time between two heartbeats of a leader.
func (r *Replica) heartbeatInterval() clock.Microseconds {
	return r.LeaseDuration / heartbeatsPerLease
}

// sendBlocked reports whether the leader may not send to a follower or learner now, because the
// last MsgAppend is unanswered and has not timed out, or because the replica fetches the snapshot.
func (r *Replica) sendBlocked(now clock.Microseconds, peer *progress) bool {
	elapsed := now - peer.lastSent
	if peer.inFlight && elapsed < r.responseTimeout(peer.inFlightBytes) {
		return true
	}
	return peer.fetchingSnapshot && elapsed < r.heartbeatInterval()
}
