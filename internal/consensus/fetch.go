package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

const (
	// timeoutPerByte is the part of a timeout that each transferred byte adds, in µs: the time that
	// a byte takes at a tenth of the rate of a 10 Mbit/s link.
	timeoutPerByte clock.Microseconds = 8
	// maxFetchAttempts is the maximum number of timeouts of a request; after that many the source
	// is abandoned.
	maxFetchAttempts = 5
	// maxBackoffFactor is the maximum timeout of a request, as a multiple of its first timeout. The
	// timeout doubles with each attempt.
	maxBackoffFactor = 4
)

// fetchPurpose is the purpose for which a replica fetches log content.
type fetchPurpose uint8

const (
	// fetchForFollower fetches, for a follower, the snapshot that its leader has announced.
	fetchForFollower fetchPurpose = iota
	// fetchForCandidate fetches, for a candidate, the most advanced log among the promises.
	fetchForCandidate
	// fetchForRecovery fetches, for a recovering replica, the most advanced log of the other slots.
	fetchForRecovery
	// fetchForLearner fetches, for a learner, the snapshot that its leader has announced.
	fetchForLearner
)

// logTransfer is the state of transfers of log content to and from this replica.
type logTransfer struct {
	// fetch is the fetch in progress, or nil if there is none.
	fetch            *logFetch
	counters         TransferCounters
	snapshotChecksum snapshotChecksum
}

// TransferCounters counts fetch requests and responses, as requester and as source.
type TransferCounters struct {
	// Served counts answered requests, Received counts responses with useful content, Rejected
	// counts rejected requests and responses, Retried counts repeated requests, and Installed
	// counts snapshots that were fetched completely and installed.
	Served, Received, Rejected, Retried, Installed uint64
}

// TransferCounters returns the transfer counters.
func (r *Replica) TransferCounters() TransferCounters {
	return r.transfer.counters
}

// logFetch is a fetch of log content from one slot, with one request at a time.
type logFetch struct {
	purpose fetchPurpose
	// source is the slot of the source, and sourceDaemon is the daemon that offered the content. The
	// local membership may be too old to name that daemon.
	source       int
	sourceDaemon Member
	// term is the term to which the fetch belongs; 0 in a recovery.
	term uint64
	// target is the log position at which the fetch is complete. Its term is not set if the target
	// is a leader's snapshot.
	target logPosition
	// nextIndex is the index after which the next request asks for entries.
	nextIndex uint64
	// logsAgree is set once the local log is known to equal the source's log up to nextIndex.
	logsAgree   bool
	requestedAt clock.Microseconds
	// attempts is the number of times that the current request has timed out.
	attempts int
	// appendSentAt is the time, on the leader's clock, at which the leader sent the MsgAppend that
	// is answered after the fetch.
	appendSentAt clock.Microseconds
	snapshot     snapshotAssembly
}

// isSameFetch reports whether two fetches have the same purpose, source and term.
func (l *logFetch) isSameFetch(other logFetch) bool {
	return l.purpose == other.purpose && l.source == other.source && l.sourceDaemon == other.sourceDaemon &&
		l.term == other.term
}

// timeoutFactor returns the timeout of the current request as a multiple of its first timeout.
func (l *logFetch) timeoutFactor() clock.Microseconds {
	return clock.Microseconds(min(1<<l.attempts, maxBackoffFactor))
}

// startFetch starts a fetch. If the same fetch is already in progress, startFetch only updates its
// target.
func (r *Replica) startFetch(now clock.Microseconds, requested logFetch) {
	if current := r.transfer.fetch; current != nil && current.isSameFetch(requested) {
		current.target = requested.target
		current.appendSentAt = requested.appendSentAt
		return
	}
	last, _ := r.LastPosition()
	requested.nextIndex = max(min(last, requested.target.index), r.Snapshot.Index)
	r.transfer.fetch = &requested
	r.sendFetchRequest(now)
}

func (r *Replica) sendFetchRequest(now clock.Microseconds) {
	fetch := r.transfer.fetch
	fetch.requestedAt = now
	r.sendAfterSync(Message{
		To:          fetch.source,
		Address:     fetch.sourceDaemon.Address,
		Receiver:    fetch.sourceDaemon.Identity,
		Kind:        MsgFetchRequest,
		Term:        fetch.term,
		RequestedAt: now,
		Incarnation: r.Incarnation,
		Index:       fetch.nextIndex,
		Snapshot:    wal.Entry{Index: fetch.snapshot.index, Term: fetch.snapshot.term},
		Checksum:    fetch.snapshot.checksum,
		Offset:      uint64(len(fetch.snapshot.data)),
	})
}

// responseTimeout returns the maximum time until a response arrives, where size is the number of
// content bytes in the request or in the response.
func (r *Replica) responseTimeout(size int) clock.Microseconds {
	return r.Delta + clock.Microseconds(size)*timeoutPerByte
}

// retryFetch repeats a request that has timed out, and abandons a source that does not answer.
func (r *Replica) retryFetch(now clock.Microseconds) {
	fetch := r.transfer.fetch
	if fetch == nil {
		return
	}
	if r.fetchObsolete(fetch) {
		r.transfer.fetch = nil
		return
	}
	timeout := r.responseTimeout(r.chunkSize()) * fetch.timeoutFactor()
	if now-fetch.requestedAt < timeout {
		return
	}
	fetch.attempts++
	if fetch.attempts >= maxFetchAttempts {
		r.abandonFetch(now)
		return
	}
	r.transfer.counters.Retried++
	r.sendFetchRequest(now)
}

// fetchObsolete reports whether the fetched content is no longer needed, because the term or the
// role of this replica has changed.
func (r *Replica) fetchObsolete(fetch *logFetch) bool {
	switch fetch.purpose {
	case fetchForRecovery:
		return r.recovery == nil
	case fetchForCandidate:
		return r.role != roleCandidate || r.ownTerm != fetch.term
	case fetchForLearner:
		return r.recovery == nil || r.recovery.leaderTerm != fetch.term
	default:
		return r.role != roleFollower || r.PromisedTerm != fetch.term
	}
}

// abandonFetch ends a fetch whose source does not answer. From then on the log of that source is
// not considered.
func (r *Replica) abandonFetch(now clock.Microseconds) {
	abandoned := r.transfer.fetch
	r.transfer.fetch = nil
	switch abandoned.purpose {
	case fetchForRecovery:
		r.recovery.discardResponse(abandoned.source)
	case fetchForCandidate:
		r.prepare(now, abandoned.term)
	default:
		// The leader's next MsgAppend starts the fetch again.
	}
}
