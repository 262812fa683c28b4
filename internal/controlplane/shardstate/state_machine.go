// Package shardstate has what all daemons that store shards know about their states: that shard 0 is the
// configuration and the others are registries of engines, and how log entries change them.
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

// decodeMachine decodes the snapshot of a shard's state machine; false if it is malformed.
func decodeMachine(shard int, snapshot []byte) (StateMachine, bool) {
	if shard == 0 {
		return config.DecodeState(snapshot)
	}
	return registry.DecodeState(snapshot)
}

// published returns a copy of a state as routers get it, which stays as it is when the state changes. States of
// one revision are equal in it.
func published(state StateMachine) StateMachine {
	switch typed := state.(type) {
	case *config.State:
		return typed.Clone()
	case *registry.State:
		return typed.Published()
	default:
		panic(fmt.Sprintf("no shard has a state of type %T", state))
	}
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
