package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/wal"
)

const (
	// DefaultChunkSize is the size of a piece of a snapshot: 10 Mbit/s carry it in 26 ms.
	DefaultChunkSize = 32 << 10
	// maxSnapshotSize is the largest snapshot that is fetched.
	maxSnapshotSize = 64 << 20
	// timeoutPerByte is how long a byte under way is waited for: a tenth of 10 Mbit/s.
	timeoutPerByte clock.Microseconds = 8
	// maxFetchAttempts is how often a question is sent until its source is given up; its
	// patience doubles up to four times the first.
	maxFetchAttempts = 5
	maxBackoffFactor = 4
)

// fetchPurpose is what a member fetches for.
type fetchPurpose uint8

const (
	// fetchForFollower brings a follower to the snapshot that its leader has announced.
	fetchForFollower fetchPurpose = iota
	// fetchForCandidate brings a candidate to the furthest log of those that promised.
	fetchForCandidate
	// fetchForRecovery brings a member that has lost its disk to what others have told.
	fetchForRecovery
	// fetchForLearner brings a learner to the snapshot that its leader has announced.
	fetchForLearner
)

// logFetch is the content that a member asks another for, one question at a time.
type logFetch struct {
	fetchPurpose
	source int
	term   uint64
	// index and indexRound are the position to reach.
	index, indexTerm uint64
	// nextIndex is the entry after which the log is wanted; common says that the source has
	// all up to it too.
	nextIndex   uint64
	logsAgree   bool
	requestedAt clock.Microseconds
	attempts    int
	// appendSentAt is the leader's time that an answer after the snapshot is for.
	appendSentAt clock.Microseconds
	snapshot     snapshotAssembly
}

// TransferCounters counts pieces and entries that were fetched by this member or from it.
type TransferCounters struct {
	Served, Received, Rejected, Retried, Installed uint64
}

// TransferCounters are the counts so far.
func (r *Replica) TransferCounters() TransferCounters { return r.transferCounters }

func (r *Replica) chunkSize() int {
	if r.Config.ChunkSize > 0 {
		return r.Config.ChunkSize
	}
	return DefaultChunkSize
}

// responseTimeout is how long an answer with so many bytes may take.
func (r *Replica) responseTimeout(size int) clock.Microseconds {
	return r.Delta + clock.Microseconds(size)*timeoutPerByte
}

// logReaches tells whether the log here is as far as a position.
func (r *Replica) logReaches(index, term uint64) bool {
	last, lastTerm := r.LastPosition()
	return lastTerm > term || lastTerm == term && last >= index
}

// hasContent tells whether what an answer holds, or the log here, reaches its position.
func (r *Replica) hasContent(response Message) bool {
	return response.Kind != MsgPromisePositionOnly && response.Kind != MsgRecoveryPositionOnly || r.logReaches(response.Index, response.IndexRound)
}

// startFetch begins to fetch, unless that is under way.
func (r *Replica) startFetch(now clock.Microseconds, requested logFetch) {
	current := r.fetch
	if current != nil && current.fetchPurpose == requested.fetchPurpose && current.source == requested.source && current.term == requested.term {
		current.index, current.indexTerm, current.appendSentAt = requested.index, requested.indexTerm, requested.appendSentAt
		return
	}
	last, _ := r.LastPosition()
	requested.nextIndex = max(min(last, requested.index), r.Snapshot.Index)
	r.fetch = &requested
	r.sendFetchRequest(now)
}

func (r *Replica) sendFetchRequest(now clock.Microseconds) {
	fetch := r.fetch
	fetch.requestedAt = now
	message := Message{To: fetch.source, Kind: MsgFetchRequest, Round: fetch.term, Asked: now, Life: r.Incarnation, Index: fetch.nextIndex}
	message.Base = wal.Entry{Index: fetch.snapshot.index, Round: fetch.snapshot.term}
	message.Checksum, message.Offset = fetch.snapshot.checksum, uint64(len(fetch.snapshot.data))
	r.sendAfterSync(message)
}

// retryFetch asks again what has stayed unanswered, and gives a silent source up.
func (r *Replica) retryFetch(now clock.Microseconds) {
	fetch := r.fetch
	if fetch == nil {
		return
	}
	if r.fetchObsolete(fetch) {
		r.fetch = nil
		return
	}
	timeout := r.responseTimeout(r.chunkSize()) * clock.Microseconds(min(1<<fetch.attempts, maxBackoffFactor))
	if now-fetch.requestedAt < timeout {
		return
	}
	fetch.attempts++
	if fetch.attempts >= maxFetchAttempts {
		r.abandonFetch(now)
		return
	}
	r.transferCounters.Retried++
	r.sendFetchRequest(now)
}

// fetchObsolete tells whether what is fetched is of an earlier term or stage.
func (r *Replica) fetchObsolete(fetch *logFetch) bool {
	switch fetch.fetchPurpose {
	case fetchForRecovery:
		return r.recovery == nil
	case fetchForCandidate:
		return r.role != roleCandidate || r.ownTerm != fetch.term
	case fetchForLearner:
		return r.recovery == nil || r.recovery.leaderTerm != fetch.term
	}
	return r.role != roleFollower || r.PromisedTerm != fetch.term
}

// abandonFetch gives up a source: what it told counts no more.
func (r *Replica) abandonFetch(now clock.Microseconds) {
	abandoned := *r.fetch
	r.fetch = nil
	switch abandoned.fetchPurpose {
	case fetchForRecovery:
		r.recovery.discardResponse(abandoned.source)
	case fetchForCandidate:
		r.prepare(now, abandoned.term)
	}
}

// handleFetchRequest answers one question for content: the entries after an index, or else a piece of
// the snapshot. Nothing is kept for the asker.
func (r *Replica) handleFetchRequest(message Message) {
	if !r.fromMember(message) && !r.fromLearner(message) || message.Round > 0 && message.Round != r.PromisedTerm {
		r.transferCounters.Rejected++
		return
	}
	response := Message{To: message.From, Kind: MsgFetchResponse, Round: message.Round, Asked: message.Asked, Life: message.Life}
	if r.fromLearner(message) {
		response.Address = message.Sender.Address
	}
	last, _ := r.LastPosition()
	if entries, term, ok := r.entriesFrom(message.Index); ok || message.Index > last {
		response.Index, response.IndexRound, response.Entries = message.Index, term, limitEntries(entries, r.chunkSize())
	} else {
		response.Base, response.Offset = r.nextChunk(message)
		response.Total, response.Checksum = uint64(len(r.Snapshot.Data)), r.currentChecksum()
	}
	r.transferCounters.Served++
	r.sendAfterSync(response)
}

// handleFetchResponse takes one answer to the question that is under way.
func (r *Replica) handleFetchResponse(now clock.Microseconds, message Message) {
	fetch := r.fetch
	if fetch == nil || r.fetchObsolete(fetch) || message.From != fetch.source || !r.fromMember(message) ||
		message.Round != fetch.term || message.Asked != fetch.requestedAt || message.Life != r.Incarnation {
		r.transferCounters.Rejected++
		return
	}
	accepted := false
	if message.Total > 0 {
		accepted = r.acceptChunk(message)
	} else {
		accepted = r.acceptEntries(message)
	}
	if !accepted {
		r.transferCounters.Rejected++
		return
	}
	r.transferCounters.Received++
	fetch.attempts = 0
	r.continueFetch(now)
}

// acceptEntries appends entries that follow what is held.
func (r *Replica) acceptEntries(message Message) bool {
	fetch := r.fetch
	if message.Index != fetch.nextIndex {
		return false
	}
	if !r.matches(message.Index, message.IndexRound) {
		// The logs differ there: begin again at what is surely common.
		committed := max(r.commitIndex, r.Snapshot.Index)
		logsDiffer := fetch.nextIndex > committed
		fetch.nextIndex = committed
		return logsDiffer
	}
	if len(message.Entries) == 0 {
		return false
	}
	for offset, entry := range message.Entries {
		if entry.Index != message.Index+uint64(offset)+1 {
			return false
		}
	}
	r.persist(r.merge(r.Shard, message.Entries)...)
	r.refreshMembership()
	fetch.nextIndex, fetch.logsAgree = message.Entries[len(message.Entries)-1].Index, true
	return true
}

// acceptChunk adds a piece to the snapshot, and installs the snapshot when it is whole.
func (r *Replica) acceptChunk(message Message) bool {
	fetch := r.fetch
	if message.Base.Index <= r.appliedIndex || !fetch.snapshot.addChunk(message, r.chunkSize()) {
		return false
	}
	if !fetch.snapshot.isComplete() {
		return true
	}
	snapshot, intact := fetch.snapshot.entry()
	fetch.snapshot = snapshotAssembly{}
	if !intact {
		return false
	}
	r.installSnapshot(snapshot)
	r.transferCounters.Installed++
	fetch.nextIndex, fetch.logsAgree = snapshot.Index, true
	return true
}

// continueFetch asks for what is still lacking, or ends the fetch.
func (r *Replica) continueFetch(now clock.Microseconds) {
	fetch := r.fetch
	done := r.logReaches(fetch.index, fetch.indexTerm)
	if fetch.fetchPurpose == fetchForFollower || fetch.fetchPurpose == fetchForLearner {
		done = fetch.logsAgree && fetch.nextIndex >= fetch.index
	}
	if !done {
		r.sendFetchRequest(now)
		return
	}
	r.fetch = nil
	switch fetch.fetchPurpose {
	case fetchForCandidate:
		r.prepare(now, fetch.term)
	case fetchForRecovery:
		r.continueRecovery(now)
	case fetchForFollower, fetchForLearner:
		r.sendAfterSync(Message{
			To: fetch.source, Kind: MsgAppendResponse, Round: fetch.term, Asked: fetch.appendSentAt, Promised: r.PromisedTerm, Life: r.Incarnation,
			Accepted: true, Index: fetch.nextIndex, Commit: r.commitIndex, Recovering: r.recovery != nil,
		})
	}
}
