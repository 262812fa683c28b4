package consensus

import "coursepass/internal/consensus/wal"

// StateMachine is the state that a shard's log builds. It must be deterministic.
type StateMachine interface {
	// Apply applies a committed operation and returns its result.
	Apply(operation []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by a snapshot.
	Restore(snapshot []byte)
}

// ApplyEntry applies a committed entry to a state, or to the membership beside it, and returns
// the operation's result.
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

// TakeSnapshot returns the applied state with the membership that was committed with it.
func (r *Replica) TakeSnapshot() []byte {
	return EncodeSnapshot(r.appliedMembership, r.stateMachine.Snapshot())
}

// AppliedMembership returns the membership that was committed with the applied state.
func (r *Replica) AppliedMembership() Membership { return r.appliedMembership }

// restoreSnapshot replaces state and applied membership. A snapshot that can't be decoded is
// ignored.
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

// installSnapshot replaces the log up to a snapshot, and the state.
func (r *Replica) installSnapshot(snapshot wal.Entry) {
	r.persist(r.compact(r.Shard, snapshot))
	r.restoreSnapshot(snapshot.Data)
	r.refreshMembership()
	r.appliedIndex = snapshot.Index
	r.output.StateChanged = true
}

// commitTo raises the commit index, but not beyond the log, and applies what is committed.
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

// recordCommit stores the commit index, so that a restarted replica can apply what is committed
// before there is a leader. Nothing waits for it.
func (r *Replica) recordCommit() {
	if r.commitIndex <= r.Snapshot.Index {
		return
	}
	record := wal.Record{Kind: wal.RecordCommit, Shard: r.Shard, Entry: wal.Entry{Index: r.commitIndex}}
	r.output.DeferredRecords = append(r.output.DeferredRecords, record)
}

// applyCommitted applies all committed entries and compacts the log if it has grown long.
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

// compactApplied replaces the applied entries by a snapshot once there are too many of them.
func (r *Replica) compactApplied() {
	if r.appliedIndex <= r.Snapshot.Index || r.appliedIndex-r.Snapshot.Index <= uint64(r.RetainedEntries) {
		return
	}
	entry, _ := r.entryAt(r.appliedIndex)
	snapshot := wal.Entry{Index: r.appliedIndex, Term: entry.Term, Data: r.TakeSnapshot()}
	r.persist(r.compact(r.Shard, snapshot))
}
