package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

const (
	// timeoutPerByte is for how long a byte on its way is waited for, in µs: a tenth of the rate
	// of a link of 10 Mbit/s.
	timeoutPerByte clock.Microseconds = 8
	// maxFetchAttempts is how often a request is sent until its source is given up.
	maxFetchAttempts = 5
	// maxBackoffFactor bounds the timeout of a request, which doubles with each attempt, as a
	// multiple of the first.
	maxBackoffFactor = 4
)

// fetchPurpose is what a replica fetches content for.
type fetchPurpose uint8

const (
	// fetchForFollower brings a follower to the snapshot that its leader has announced.
	fetchForFollower fetchPurpose = iota
	// fetchForCandidate brings a candidate to the most advanced log of those that have promised.
	fetchForCandidate
	// fetchForRecovery brings a recovering replica to the most advanced log of the others.
	fetchForRecovery
	// fetchForLearner brings a learner to the snapshot that its leader has announced.
	fetchForLearner
)

// logTransfer is the transfer of logs and snapshots to this replica and from it.
type logTransfer struct {
	// fetch is the fetch under way; nil if there is none.
	fetch            *logFetch
	counters         TransferCounters
	snapshotChecksum snapshotChecksum
}

// TransferCounters count requests and responses for content.
type TransferCounters struct {
	// Served counts requests that were answered, Received responses that were of use, Rejected
	// messages of both kinds that were refused, Retried requests that were repeated, and Installed
	// snapshots that were fetched completely.
	Served, Received, Rejected, Retried, Installed uint64
}

// TransferCounters returns the counters.
func (r *Replica) TransferCounters() TransferCounters {
	return r.transfer.counters
}

// logFetch is a log that is fetched from one slot, by one request at a time.
type logFetch struct {
	purpose fetchPurpose
	source  int
	// term is the term that the fetch is for; 0 in a recovery.
	term uint64
	// target is the position to reach. A leader's snapshot has no term here.
	target logPosition
	// nextIndex is the index after which the log is requested.
	nextIndex uint64
	// logsAgree is set once the source is known to have the same log up to nextIndex.
	logsAgree   bool
	requestedAt clock.Microseconds
	// attempts is how often the current request has timed out.
	attempts int
	// appendSentAt is the leader's time of the Append that is answered after the fetch.
	appendSentAt clock.Microseconds
	snapshot     snapshotAssembly
}

// sameSource reports whether two fetches are for the same purpose, source and term.
func (l *logFetch) sameSource(other logFetch) bool {
	return l.purpose == other.purpose && l.source == other.source && l.term == other.term
}

// timeoutFactor returns by how much the timeout of the current request is longer than the first.
func (l *logFetch) timeoutFactor() clock.Microseconds {
	return clock.Microseconds(min(1<<l.attempts, maxBackoffFactor))
}

// startFetch starts a fetch, or gives one that is under way from the same source its new target.
func (r *Replica) startFetch(now clock.Microseconds, requested logFetch) {
	if current := r.transfer.fetch; current != nil && current.sameSource(requested) {
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

// responseTimeout returns how long the response to, or with, so many bytes may take.
func (r *Replica) responseTimeout(size int) clock.Microseconds {
	return r.Delta + clock.Microseconds(size)*timeoutPerByte
}

// retryFetch repeats a request that has timed out, and gives up a source that does not answer.
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

// fetchObsolete reports whether what is fetched is not needed any more: the term or the role has
// changed.
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

// abandonFetch gives up a source that does not answer: its log does not count any more.
func (r *Replica) abandonFetch(now clock.Microseconds) {
	abandoned := r.transfer.fetch
	r.transfer.fetch = nil
	switch abandoned.purpose {
	case fetchForRecovery:
		r.recovery.discardResponse(abandoned.source)
	case fetchForCandidate:
		r.prepare(now, abandoned.term)
	default:
		// The leader's next Append starts it again.
	}
}
