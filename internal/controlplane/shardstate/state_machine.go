// Package shardstate has what all daemons that store shards know about their states: that shard 0 is the
// configuration and the others are registries of engines, and how log entries change them.
package shardstate

import (
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
)

// StateMachine is the replicated state of a shard.
type StateMachine interface {
	consensus.StateMachine
	CurrentRevision() uint64
	// PublishedSnapshot returns the state as routers get it. States of one revision are equal in it.
	PublishedSnapshot() []byte
}

func newStateMachine(shard int) StateMachine {
	if shard == 0 {
		return config.NewState()
	}
	return registry.NewState()
}

// PublishedEntry returns an entry of a shard's log as routers get it: without the data if that is an operation
// on the outbox, since an entry without data changes nothing.
func PublishedEntry(shard int, entry gossip.Entry) gossip.Entry {
	operation, isOperation := consensus.Operation(entry.Data)
	if shard != 0 && isOperation && outbox.IsOperation(operation) {
		entry.Data = nil
	}
	return entry
}

// ApplyEntries returns the snapshot of a shard that results from an earlier snapshot and the log entries
// after it; false if they don't lead to the given revision. Every server and router applies operations
// alike, so entries can travel in place of snapshots.
func ApplyEntries(shard int, data []byte, entries []gossip.Entry, revision uint64) ([]byte, bool) {
	membership, snapshot, valid := consensus.DecodeSnapshot(data)
	if !valid {
		return nil, false
	}
	state := newStateMachine(shard)
	state.Restore(snapshot)
	for _, entry := range entries {
		consensus.ApplyEntry(state, &membership, wal.Entry{Index: entry.Index, Term: entry.Term, Data: entry.Data})
	}
	if state.CurrentRevision() != revision {
		return nil, false
	}
	return consensus.EncodeSnapshot(membership, state.Snapshot()), true
}
