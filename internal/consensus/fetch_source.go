package consensus

import "coursepass/internal/consensus/wal"

// handleFetchRequest answers a fetch request with entries, or with a chunk of the snapshot if the
// entries are compacted. The source keeps no state for the requester.
func (r *Replica) handleFetchRequest(message Message) {
	if !r.mayFetch(message) {
		r.transfer.counters.Rejected++
		return
	}
	response := Message{
		Kind:        MsgFetchResponse,
		Term:        message.Term,
		RequestedAt: message.RequestedAt,
		Incarnation: message.Incarnation,
	}
	last, _ := r.LastPosition()
	entries, term, ok := r.entriesFrom(message.Index)
	if ok || message.Index > last {
		response.Index = message.Index
		response.IndexTerm = term
		response.Entries = limitEntries(entries, r.chunkSize())
	} else {
		response.Snapshot, response.Offset = r.nextChunk(message)
		response.Total = uint64(len(r.Snapshot.Data))
		response.Checksum = r.currentChecksum()
	}
	r.transfer.counters.Served++
	r.reply(message, response)
}

// mayFetch reports whether a request comes from a member or the learner, and belongs to the present
// term or to a recovery.
func (r *Replica) mayFetch(request Message) bool {
	if !r.fromMember(request) && !r.fromLearner(request) {
		return false
	}
	return request.Term == 0 || request.Term == r.PromisedTerm
}

// nextChunk returns the chunk of the snapshot that a requester needs next: the one at the requested
// offset if the requester has the beginning of the same snapshot, or else the first one.
func (r *Replica) nextChunk(request Message) (chunk wal.Entry, offset uint64) {
	snapshot := r.Snapshot
	size := uint64(len(snapshot.Data))
	sameSnapshot := request.Snapshot.Index == snapshot.Index &&
		request.Snapshot.Term == snapshot.Term &&
		request.Checksum == r.currentChecksum()
	if sameSnapshot && request.Offset < size {
		offset = request.Offset
	}
	end := min(offset+uint64(r.chunkSize()), size)
	return wal.Entry{Index: snapshot.Index, Term: snapshot.Term, Data: snapshot.Data[offset:end]}, offset
}

// limitEntries returns as many of the first entries as one message may contain, but at least one.
func limitEntries(entries []wal.Entry, maxBytes int) []wal.Entry {
	size := 0
	for count, entry := range entries {
		size += len(entry.Data)
		if count > 0 && size > maxBytes || count == maxEntriesPerAppend {
			return entries[:count]
		}
	}
	return entries
}

// withLogAfter adds the whole log after an index to a promise or recovery response if it fits into
// one message. Otherwise it changes the kind of the response to the one that contains only the
// position.
func (r *Replica) withLogAfter(response Message, index uint64) Message {
	if index < r.Snapshot.Index {
		response.Snapshot = r.Snapshot
	}
	response.Entries = r.entriesAfter(index)
	if response.Size() <= r.chunkSize() {
		return response
	}
	response.Snapshot = wal.Entry{}
	response.Entries = nil
	if response.Kind == MsgPromise {
		response.Kind = MsgPromisePositionOnly
	} else {
		response.Kind = MsgRecoveryPositionOnly
	}
	return response
}

// logAvailable reports whether a response contains the log up to its position, or the local log is
// already at least as advanced.
func (r *Replica) logAvailable(response Message) bool {
	positionOnly := response.Kind == MsgPromisePositionOnly || response.Kind == MsgRecoveryPositionOnly
	return !positionOnly || r.logReaches(response.position())
}
