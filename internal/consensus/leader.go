package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

const (
	maxEntriesPerAppend = 64
	// replicationWait is how long an acknowledgement waits for a slot that is in good touch.
	replicationWait = 300 * clock.Millisecond
)

func (r *Replica) prepare(now clock.Microseconds, term uint64) {
	r.role, r.ownTerm, r.preparedAt = roleCandidate, term, now
	r.promises = map[int]Message{}
	for slot := range r.Slots {
		message := Message{
			Part: r.Shard, From: r.Self, To: slot, Kind: MsgPrepare, Round: term, Index: r.commitIndex,
			Epoch: r.membership.Epoch,
		}
		if slot != r.Self {
			r.output.Messages = append(r.output.Messages, message)
			continue
		}
		r.handlePrepare(message)
	}
}

func (r *Replica) handlePromise(now clock.Microseconds, message Message) {
	if message.Promised > max(message.Round, r.PromisedTerm) {
		r.observeHigherTerm(now, message.From, message.Promised)
	}
	if r.role != roleCandidate || message.Round != r.ownTerm || !message.Accepted || !r.fromMember(message) {
		return
	}
	r.promises[message.From] = message
	if _, hasOwnPromise := r.promises[r.Self]; !hasOwnPromise || len(r.promises) < r.majority() {
		return
	}
	bestPromise := message
	for _, promise := range r.promises {
		if promise.IndexRound > bestPromise.IndexRound || promise.IndexRound == bestPromise.IndexRound && promise.Index > bestPromise.Index {
			bestPromise = promise
		}
	}
	if bestPromise.From != r.Self && !r.hasContent(bestPromise) {
		r.startFetch(now, logFetch{fetchPurpose: fetchForCandidate, source: bestPromise.From, term: r.ownTerm, index: bestPromise.Index, indexTerm: bestPromise.IndexRound})
		return
	}
	if !r.promisesFormQuorum(bestPromise) {
		return
	}
	if bestPromise.From != r.Self {
		r.adoptLog(bestPromise)
	}
	r.becomeLeader(now)
}

// adoptLog takes over the log of the slot that is furthest among a majority.
func (r *Replica) adoptLog(bestPromise Message) {
	if bestPromise.Base.Index > r.appliedIndex {
		r.installSnapshot(bestPromise.Base)
	}
	r.persist(r.merge(r.Shard, bestPromise.Entries)...)
	if last, _ := r.LastPosition(); last > bestPromise.Index {
		r.Entries = r.Entries[:bestPromise.Index-r.Snapshot.Index]
	}
	r.refreshMembership()
}

func (r *Replica) installSnapshot(snapshot wal.Entry) {
	r.persist(r.compact(r.Shard, snapshot))
	r.restoreSnapshot(snapshot.Data)
	r.refreshMembership()
	r.appliedIndex = snapshot.Index
	r.output.StateChanged = true
}

func (r *Replica) becomeLeader(now clock.Microseconds) {
	r.role, r.promises = roleLeader, nil
	r.leaderLease = lease.NewLease(r.Timing, r.ownTerm, r.Slots)
	r.followers = make([]follower, r.Slots)
	r.pendingResults = nil
	last, _ := r.LastPosition()
	r.firstTermIndex, r.quorumCommitIndex = last+1, r.commitIndex
	for slot := range r.followers {
		r.followers[slot].nextIndex, r.followers[slot].lastContact = last+1, now
	}
	r.appendEntry(nil)
	r.replicate(now)
}

func (r *Replica) appendEntry(data []byte) uint64 {
	last, _ := r.LastPosition()
	entry := wal.Entry{Index: last + 1, Round: r.ownTerm, Data: data}
	r.persist(r.merge(r.Shard, []wal.Entry{entry})...)
	return entry.Index
}

// Propose puts an operation into the log; false where this member does not own
// the part. Its result comes with the same index and round, or Lost does.
func (r *Replica) Propose(now clock.Microseconds, operation []byte) (index, term uint64, accepted bool, output Output) {
	if !r.IsLeader() {
		return 0, 0, false, Output{}
	}
	if len(operation) > 0 {
		operation = OperationData(operation)
	}
	index = r.appendEntry(operation)
	r.replicate(now)
	return index, r.ownTerm, true, r.takeOutput()
}

// replicate sends what a follower lacks, and at each third of a lease a heartbeat
// that also asks for the grant.
func (r *Replica) replicate(now clock.Microseconds) {
	last, _ := r.LastPosition()
	for slot := range r.followers {
		peer := &r.followers[slot]
		heartbeatDue := now-peer.lastSent >= r.LeaseDuration/3 || peer.knownCommit < r.commitIndex && !peer.inFlight
		switch {
		case peer.inFlight && now-peer.lastSent < r.responseTimeout(peer.inFlightBytes):
			continue
		case peer.fetchingSnapshot && now-peer.lastSent < r.LeaseDuration/3:
			continue
		case peer.inFlight:
			peer.nextIndex = peer.matchIndex + 1
		case peer.nextIndex > last && !heartbeatDue:
			continue
		}
		r.sendAppend(now, slot)
	}
}

func (r *Replica) sendAppend(now clock.Microseconds, slot int) {
	message := r.buildAppend(now, slot, &r.followers[slot])
	if slot == r.Self {
		r.handleAppend(now, message)
		return
	}
	r.output.Messages = append(r.output.Messages, message)
}

// buildAppend makes the next Append for a follower, and notes what is on its way to it.
func (r *Replica) buildAppend(now clock.Microseconds, slot int, peer *follower) Message {
	message := Message{
		To: slot, Kind: MsgAppend, Round: r.ownTerm, Commit: r.commitIndex,
		Established: r.committedInOwnTerm(), Asked: now, Life: peer.incarnation, Part: r.Shard, From: r.Self, Epoch: r.membership.Epoch,
	}
	entries, term, ok := r.entriesFrom(peer.nextIndex - 1)
	if !ok {
		peer.fetchingSnapshot = len(r.Snapshot.Data) > r.chunkSize()
		if peer.fetchingSnapshot {
			message.Snapshot = r.Snapshot.Index
		} else {
			message.Base = r.Snapshot
		}
		peer.nextIndex = r.Snapshot.Index + 1
		entries, term = r.Entries, r.Snapshot.Round
	}
	message.Index, message.IndexRound = peer.nextIndex-1, term
	if !peer.fetchingSnapshot {
		message.Entries = limitEntries(entries, r.chunkSize())
	}
	peer.nextIndex += uint64(len(message.Entries))
	peer.lastSent, peer.inFlight, peer.inFlightBytes = now, true, message.Size()
	return message
}

func (r *Replica) handleAppendResponse(now clock.Microseconds, message Message) {
	if message.Recovering {
		r.handleLearnerResponse(now, message)
		return
	}
	if message.Promised > max(message.Round, r.PromisedTerm) {
		r.observeHigherTerm(now, message.From, message.Promised)
	}
	if r.role != roleLeader || message.Round != r.ownTerm || !r.fromMember(message) {
		return
	}
	peer := &r.followers[message.From]
	if peer.member != message.Sender {
		*peer = follower{nextIndex: r.Snapshot.Index + 1, member: message.Sender}
	}
	peer.incarnation, peer.lastContact = message.Life, now
	if message.Granted {
		r.leaderLease.RecordRenewal(now, message.From, message.Asked)
	}
	if r.fromLearner(message) {
		// It is a voter now; another may be taught.
		r.learner = nil
	}
	if message.Promised <= message.Round {
		r.election.RecordAnswer(message.From, message.Asked)
	}
	if message.Asked == peer.lastSent {
		peer.inFlight = false
	}
	if !message.Accepted {
		peer.nextIndex = min(peer.nextIndex, message.Index+1)
		return
	}
	peer.fetchingSnapshot = false
	peer.matchIndex = max(peer.matchIndex, message.Index)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	peer.knownCommit = max(peer.knownCommit, message.Commit)
	r.commitQuorum(now)
	r.replicate(now)
}

// commitQuorum commits what a majority holds, and answers what a majority knows to be
// committed.
func (r *Replica) commitQuorum(now clock.Microseconds) {
	matchedIndex := r.quorumIndex(func(peer follower) uint64 { return peer.matchIndex })
	if matchedIndex >= r.firstTermIndex {
		r.commitTo(matchedIndex)
		r.upToDate = true
	}
	if knownCommit := r.quorumIndex(func(peer follower) uint64 { return peer.knownCommit }); knownCommit > r.quorumCommitIndex {
		if len(r.pendingResults) == 0 || r.pendingResults[0].Index > r.quorumCommitIndex {
			r.replicationWaitSince = now
		}
		r.quorumCommitIndex = knownCommit
	}
	r.releaseResults(now)
}

// releaseResults answers what a majority knows. While the rest are in good touch it waits a
// little for them to know it too, so that an entry is not lost with the few who hold it.
func (r *Replica) releaseResults(now clock.Microseconds) {
	if len(r.pendingResults) == 0 || r.pendingResults[0].Index > r.quorumCommitIndex {
		return
	}
	releasable := r.quorumCommitIndex
	for slot := range r.followers {
		peer := &r.followers[slot]
		switch {
		case peer.knownCommit >= r.quorumCommitIndex:
			peer.lagging = false
		case peer.lagging || r.membership.Seats[slot].Vacant() || now-peer.lastContact > r.LeaseDuration/2:
		case now-r.replicationWaitSince >= replicationWait:
			peer.lagging = true
		default:
			releasable = min(releasable, peer.knownCommit)
		}
	}
	ready := 0
	for ready < len(r.pendingResults) && r.pendingResults[ready].Index <= releasable {
		ready++
	}
	r.output.Results = append(r.output.Results, r.pendingResults[:ready]...)
	r.pendingResults = r.pendingResults[ready:]
}

// quorumIndex is the highest index that a majority of slots has reached.
func (r *Replica) quorumIndex(index func(follower) uint64) uint64 {
	highest := uint64(0)
	for _, candidate := range r.followers {
		count := 0
		for _, peer := range r.followers {
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
