package consensus

import "coursepass/internal/clock"

// progress is what a leader knows of one follower or learner.
type progress struct {
	// member is the daemon that has answered.
	member Member
	// incarnation is the last known incarnation of that daemon; 0 if none is known.
	incarnation uint64
	// matchIndex is the last index known to be stored there, nextIndex the next to send, and
	// knownCommit the commit index there.
	matchIndex, nextIndex, knownCommit uint64
	lastContact                        clock.Microseconds
	// lastSent is when the last Append was sent; it identifies the Append in the response.
	lastSent clock.Microseconds
	// inFlight is set while that Append is unanswered; inFlightBytes is its size.
	inFlight      bool
	inFlightBytes int
	// fetchingSnapshot is set while it fetches the snapshot.
	fetchingSnapshot bool
	// lagging is set if a result has waited for it in vain, and it has not caught up since.
	lagging bool
}

// newProgress returns the progress of a daemon whose log is not known.
func (r *Replica) newProgress(now clock.Microseconds, daemon Member) progress {
	return progress{nextIndex: r.Snapshot.Index + 1, member: daemon, lastContact: now}
}

// recordResponse takes over what the response to an Append says of the log there, and reports
// whether the Append was accepted.
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

// heartbeatInterval is the time between two heartbeats of a leader.
func (r *Replica) heartbeatInterval() clock.Microseconds {
	return r.LeaseDuration / heartbeatsPerLease
}

// mustWait reports whether nothing may be sent to a follower or learner now: it has not answered
// the last Append yet, or it fetches the snapshot.
func (r *Replica) mustWait(now clock.Microseconds, peer *progress) bool {
	elapsed := now - peer.lastSent
	if peer.inFlight && elapsed < r.responseTimeout(peer.inFlightBytes) {
		return true
	}
	return peer.fetchingSnapshot && elapsed < r.heartbeatInterval()
}
