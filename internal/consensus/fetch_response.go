package consensus

import "coursepass/internal/clock"

// handleFetchResponse stores the content of the response to the current request.
func (r *Replica) handleFetchResponse(now clock.Microseconds, message Message) {
	if !r.answersFetch(message) || !r.acceptFetched(message) {
		r.transfer.counters.Rejected++
		return
	}
	r.transfer.counters.Received++
	r.transfer.fetch.attempts = 0
	if r.recovery != nil {
		r.recovery.progressAt = now
	}
	r.continueFetch(now)
}

// answersFetch reports whether a message is the response to the current request.
func (r *Replica) answersFetch(message Message) bool {
	fetch := r.transfer.fetch
	if fetch == nil || r.fetchObsolete(fetch) {
		return false
	}
	fromSource := message.From == fetch.source && message.Sender == fetch.sourceDaemon
	return fromSource &&
		message.Term == fetch.term &&
		message.RequestedAt == fetch.requestedAt &&
		message.Incarnation == r.Incarnation
}

// acceptFetched stores a chunk or entries, and reports whether they were useful.
func (r *Replica) acceptFetched(message Message) bool {
	if message.Total > 0 {
		return r.acceptChunk(message)
	}
	return r.acceptEntries(message)
}

// acceptEntries appends entries that follow the local log, and reports whether the fetch made
// progress.
func (r *Replica) acceptEntries(message Message) bool {
	fetch := r.transfer.fetch
	if message.Index != fetch.nextIndex {
		return false
	}
	if !r.matches(message.position()) {
		// The logs differ. Continue after the last entry that both logs certainly contain.
		committed := max(r.commitIndex, r.Snapshot.Index)
		progressed := fetch.nextIndex > committed
		fetch.nextIndex = committed
		return progressed
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
	fetch.nextIndex = message.Entries[len(message.Entries)-1].Index
	fetch.logsAgree = true
	return true
}

// acceptChunk appends a chunk to the snapshot that is being fetched, and installs the snapshot once
// it is complete. It reports whether the chunk was useful.
func (r *Replica) acceptChunk(message Message) bool {
	fetch := r.transfer.fetch
	if message.Snapshot.Index <= r.appliedIndex || !fetch.snapshot.addChunk(message, r.chunkSize()) {
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
	r.transfer.counters.Installed++
	fetch.nextIndex = snapshot.Index
	fetch.logsAgree = true
	return true
}

// continueFetch requests the content that is still missing. If none is, it ends the fetch and
// continues the operation that needed the content.
func (r *Replica) continueFetch(now clock.Microseconds) {
	fetch := r.transfer.fetch
	if !r.fetchDone(fetch) {
		r.sendFetchRequest(now)
		return
	}
	r.transfer.fetch = nil
	switch fetch.purpose {
	case fetchForCandidate:
		r.prepare(now, fetch.term)
	case fetchForRecovery:
		r.continueRecovery(now)
	case fetchForFollower, fetchForLearner:
		r.acknowledgeFetch(fetch)
	}
}

// fetchDone reports whether the local log has reached the target.
func (r *Replica) fetchDone(fetch *logFetch) bool {
	switch fetch.purpose {
	case fetchForFollower, fetchForLearner:
		return fetch.logsAgree && fetch.nextIndex >= fetch.target.index
	default:
		return r.logReaches(fetch.target)
	}
}

// acknowledgeFetch answers the MsgAppend that announced the snapshot.
func (r *Replica) acknowledgeFetch(fetch *logFetch) {
	r.sendAfterSync(Message{
		To:           fetch.source,
		Address:      fetch.sourceDaemon.Address,
		Receiver:     fetch.sourceDaemon.Identity,
		Kind:         MsgAppendResponse,
		Term:         fetch.term,
		RequestedAt:  fetch.appendSentAt,
		PromisedTerm: r.PromisedTerm,
		Incarnation:  r.Incarnation,
		Accepted:     true,
		Index:        fetch.nextIndex,
		Commit:       r.commitIndex,
		Recovering:   r.recovery != nil,
	})
}
