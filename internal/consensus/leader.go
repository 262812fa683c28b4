package consensus

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

const (
	maxEntriesPerAppend = 64
	// heartbeatsPerLease is the number of heartbeats per lease duration. Each of them renews the
	// lease.
	heartbeatsPerLease = 3
)

// leadership is the state of a leader. Values that are left over from an earlier term are not used.
type leadership struct {
	// lease is nil if this replica is not leader.
	lease *lease.Lease
	// followers holds the progress of all slots, including the leader's own, indexed by slot.
	followers []progress
	// learner is the learner to which the leader replicates, or nil if there is none.
	learner *learner
	// firstTermIndex is the index of the first entry of the leader's own term.
	firstTermIndex uint64
	// quorumCommitIndex is the highest commit index that a majority knows.
	quorumCommitIndex uint64
	// pendingResults are the results of applied entries that are not released yet.
	pendingResults []Result
	// replicationWaitSince is the time since which the first pending result waits for slow
	// followers.
	replicationWaitSince clock.Microseconds
}

// becomeLeader starts to lead ownTerm. It appends an empty entry, whose commit commits all earlier
// entries.
func (r *Replica) becomeLeader(now clock.Microseconds) {
	r.role = roleLeader
	r.candidacy.promises = nil
	last, _ := r.LastPosition()
	r.leadership.lease = lease.NewLease(r.Timing, r.ownTerm, r.Slots)
	r.leadership.followers = make([]progress, r.Slots)
	r.leadership.pendingResults = nil
	r.leadership.firstTermIndex = last + 1
	r.leadership.quorumCommitIndex = r.commitIndex
	for slot := range r.leadership.followers {
		peer := &r.leadership.followers[slot]
		peer.nextIndex = last + 1
		peer.lastContact = now
	}
	r.appendEntry(nil)
	r.replicate(now)
}

// committedInOwnTerm reports whether this replica leads and has committed an entry of its own term.
// Only then are all entries of earlier terms known to be committed too.
func (r *Replica) committedInOwnTerm() bool {
	return r.role == roleLeader && r.commitIndex >= r.leadership.firstTermIndex
}

// FirstTermIndex returns the index of the first entry that this replica appended as the present leader. Its value means
// nothing while this replica does not lead.
func (r *Replica) FirstTermIndex() uint64 { return r.leadership.firstTermIndex }

// appendEntry appends an entry of ownTerm and returns its index.
func (r *Replica) appendEntry(data []byte) uint64 {
	last, _ := r.LastPosition()
	entry := wal.Entry{Index: last + 1, Term: r.ownTerm, Data: data}
	r.persist(r.merge(r.Shard, []wal.Entry{entry})...)
	return entry.Index
}

// Propose appends an operation to the log. accepted is false if this replica is not leader. A later
// Output contains the Result with the same index and term, or has ProposalsDropped set.
func (r *Replica) Propose(
	now clock.Microseconds, operation []byte,
) (index, term uint64, accepted bool, output Output) {
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

// replicate sends each slot the entries that it lacks, and a heartbeat if one is due.
func (r *Replica) replicate(now clock.Microseconds) {
	last, _ := r.LastPosition()
	for slot := range r.leadership.followers {
		peer := &r.leadership.followers[slot]
		if r.sendBlocked(now, peer) {
			continue
		}
		if peer.inFlight {
			// The last MsgAppend or its response was lost.
			peer.nextIndex = peer.matchIndex + 1
		} else if peer.nextIndex > last && !r.heartbeatDue(now, peer) {
			continue
		}
		r.sendAppend(now, slot)
	}
}

// heartbeatDue reports whether the leader must send an empty MsgAppend to a follower that lacks no
// entries: as heartbeat, or to tell it the commit index.
func (r *Replica) heartbeatDue(now clock.Microseconds, peer *progress) bool {
	return now-peer.lastSent >= r.heartbeatInterval() || peer.knownCommit < r.commitIndex
}

func (r *Replica) sendAppend(now clock.Microseconds, slot int) {
	message := r.buildAppend(now, slot, &r.leadership.followers[slot])
	if slot == r.Self {
		r.handleAppend(now, message)
		return
	}
	r.send(message)
}

// buildAppend returns the next MsgAppend for a follower or learner, and records it as in flight.
func (r *Replica) buildAppend(now clock.Microseconds, slot int, peer *progress) Message {
	message := Message{
		From:        r.Self,
		To:          slot,
		Kind:        MsgAppend,
		Term:        r.ownTerm,
		Commit:      r.commitIndex,
		Established: r.committedInOwnTerm(),
		RequestedAt: now,
		Incarnation: peer.incarnation,
		Receiver:    peer.member.Identity,
	}
	entries, term, ok := r.entriesFrom(peer.nextIndex - 1)
	if !ok {
		// The entries are compacted. The message contains the snapshot, or announces it to be
		// fetched if it is larger than a chunk.
		peer.fetchingSnapshot = len(r.Snapshot.Data) > r.chunkSize()
		if peer.fetchingSnapshot {
			message.SnapshotIndex = r.Snapshot.Index
		} else {
			message.Snapshot = r.Snapshot
		}
		peer.nextIndex = r.Snapshot.Index + 1
		entries, term = r.Entries, r.Snapshot.Term
	}
	message.Index = peer.nextIndex - 1
	message.IndexTerm = term
	if !peer.fetchingSnapshot {
		message.Entries = limitEntries(entries, r.chunkSize())
	}
	peer.nextIndex += uint64(len(message.Entries))
	peer.lastSent = now
	peer.inFlight = true
	peer.inFlightBytes = message.Size()
	return message
}

// handleAppendResponse records what a follower's response shows: the position of its log, its grant
// of the lease, and that the leader is in contact with it.
func (r *Replica) handleAppendResponse(now clock.Microseconds, message Message) {
	if message.Recovering {
		r.handleLearnerResponse(now, message)
		return
	}
	r.observePromised(now, message)
	if r.role != roleLeader || message.Term != r.ownTerm || !r.fromMember(message) {
		return
	}
	peer := &r.leadership.followers[message.From]
	if peer.member != message.Sender {
		*peer = r.newProgress(now, message.Sender)
	}
	peer.incarnation = message.Incarnation
	peer.lastContact = now
	if message.Granted {
		r.leadership.lease.RecordRenewal(now, message.From, message.RequestedAt)
	}
	if r.fromLearner(message) {
		// The learner has become a voter, which allows the next learner.
		r.leadership.learner = nil
	}
	if message.PromisedTerm <= message.Term {
		r.election.RecordAnswer(message.From, message.RequestedAt)
	}
	if peer.recordResponse(message) {
		r.commitQuorum(now)
		r.replicate(now)
	}
}
