// Package shardstate implements the states of shards for all daemons that store shards: shard 0 holds the configuration
// and every other shard holds a registry of engines. It decodes these states, applies log entries to them, and prepares
// states and entries for publication to routers.
package shardstate

import (
	"fmt"

	"coursepass/internal/consensus"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
)

// StateMachine is the replicated state of a shard.
type StateMachine interface {
	consensus.StateMachine
	CurrentRevision() uint64
}

// decodeMachine decodes the snapshot of a shard's state machine. It returns false if the snapshot is malformed.
func decodeMachine(shard int, snapshot []byte) (StateMachine, bool) {
	if shard == 0 {
		return config.DecodeState(snapshot)
	}
	return registry.DecodeState(snapshot)
}

// publishedCopy returns a copy of a state in the form that routers receive. Later changes of the state do not affect
// the copy. Copies of states with the same revision are equal.
func publishedCopy(state StateMachine) StateMachine {
	switch typed := state.(type) {
	case *config.State:
		return typed.Clone()
	case *registry.State:
		return typed.Published()
	default:
		panic(fmt.Sprintf("unknown type of shard state: %T", state))
	}
}

// PublishedEntry returns an entry of a shard's log in the form that routers receive. It removes the data of an outbox
// operation, because routers do not receive the outbox; an entry without data changes nothing when it is applied.
func PublishedEntry(shard int, entry gossip.Entry) gossip.Entry {
	operation, isOperation := consensus.Operation(entry.Data)
	if shard != 0 && isOperation && outbox.IsOperation(operation) {
		entry.Data = nil
	}
	return entry
}
