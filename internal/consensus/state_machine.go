package consensus

import "coursepass/internal/consensus/wal"

// StateMachine is the state that results from applying the log of a shard. It must be
// deterministic.
type StateMachine interface {
	// Apply applies a committed operation and returns its result.
	Apply(operation []byte) []byte
	// Snapshot returns the whole state in encoded form.
	Snapshot() []byte
	// Restore replaces the whole state with that of a snapshot.
	Restore(snapshot []byte)
}

// ApplyEntry applies a committed entry to a state, or to the membership if the entry is a
// membership change, and returns the result of the operation.
func ApplyEntry(state StateMachine, membership *Membership, entry wal.Entry) []byte {
	if decoded, ok := decodeMembership(entry); ok {
		*membership = decoded
		return nil
	}
	if len(entry.Data) == 0 {
		return nil
	}
	return state.Apply(entry.Data[1:])
}

// TakeSnapshot returns a snapshot of the applied state and of the membership in the applied part of
// the log.
func (r *Replica) TakeSnapshot() []byte {
	return EncodeSnapshot(r.appliedMembership, r.stateMachine.Snapshot())
}

// AppliedMembership returns the last membership in the applied part of the log.
func (r *Replica) AppliedMembership() Membership { return r.appliedMembership }

// restoreSnapshot replaces the state and the applied membership with those of a snapshot. It
// ignores a snapshot that cannot be decoded.
func (r *Replica) restoreSnapshot(encoded []byte) {
	membership, stateSnapshot, ok := DecodeSnapshot(encoded)
	if !ok {
		return
	}
	if len(membership.Members) == r.Slots {
		r.appliedMembership = membership
	}
	r.stateMachine.Restore(stateSnapshot)
}

// installSnapshot replaces the state, and the log up to the snapshot's index, with a snapshot.
func (r *Replica) installSnapshot(snapshot wal.Entry) {
	r.persist(r.compact(r.Shard, snapshot))
	r.restoreSnapshot(snapshot.Data)
	r.refreshMembership()
	r.appliedIndex = snapshot.Index
	r.output.StateChanged = true
}

// commitTo raises the commit index to commit, or to the end of the log if that is lower, and
// applies the committed entries.
func (r *Replica) commitTo(commit uint64) {
	if last, _ := r.LastPosition(); commit > last {
		commit = last
	}
	if commit > r.commitIndex {
		r.commitIndex = commit
		r.recordCommit()
	}
	r.applyCommitted()
}

// recordCommit queues a record of the commit index, so that a restarted replica can apply the
// committed entries before a leader is elected. No message waits for the sync of this record.
func (r *Replica) recordCommit() {
	if r.commitIndex <= r.Snapshot.Index {
		return
	}
	record := wal.Record{Kind: wal.RecordCommit, Shard: r.Shard, Entry: wal.Entry{Index: r.commitIndex}}
	r.output.DeferredRecords = append(r.output.DeferredRecords, record)
}

// applyCommitted applies all committed entries, and then compacts the log if it holds too many
// applied entries.
func (r *Replica) applyCommitted() {
	for r.appliedIndex < r.commitIndex {
		entry, ok := r.entryAt(r.appliedIndex + 1)
		if !ok {
			break
		}
		response := ApplyEntry(r.stateMachine, &r.appliedMembership, entry)
		r.appliedIndex++
		r.output.StateChanged = true
		if r.role == roleLeader {
			result := Result{Index: entry.Index, Term: entry.Term, Response: response}
			r.leadership.pendingResults = append(r.leadership.pendingResults, result)
		}
	}
	r.compactApplied()
}

// compactApplied replaces the applied entries by a snapshot once there are more of them than
// RetainedEntries.
func (r *Replica) compactApplied() {
	if r.appliedIndex <= r.Snapshot.Index || r.appliedIndex-r.Snapshot.Index <= uint64(r.RetainedEntries) {
		return
	}
	entry, _ := r.entryAt(r.appliedIndex)
	snapshot := wal.Entry{Index: r.appliedIndex, Term: entry.Term, Data: r.TakeSnapshot()}
	r.persist(r.compact(r.Shard, snapshot))
}
