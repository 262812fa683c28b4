package shardstate

import (
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// PublishedState is the state of a shard with its membership, in the form that gossip distributes. It is immutable.
type PublishedState struct {
	Membership consensus.Membership
	machine    StateMachine
}

var _ gossip.State = (*PublishedState)(nil)

// Publish returns the published form of a state machine. Later changes of the state machine do not affect it.
func Publish(membership consensus.Membership, machine StateMachine) *PublishedState {
	return &PublishedState{Membership: membership, machine: publishedCopy(machine)}
}

// Decode decodes the snapshot of a shard's state. It returns false if the snapshot is malformed.
func Decode(shard int, snapshot []byte) (gossip.State, bool) {
	membership, encoded, valid := consensus.DecodeSnapshot(snapshot)
	if !valid {
		return nil, false
	}
	machine, valid := decodeMachine(shard, encoded)
	if !valid {
		return nil, false
	}
	return Publish(membership, machine), true
}

// Apply returns the state that results when log entries are applied to this state, or false if the result does not have
// the given revision. All servers and routers apply operations in the same way, so gossip can send entries instead of
// snapshots.
func (p *PublishedState) Apply(entries []gossip.Entry, revision uint64) (gossip.State, bool) {
	next := Publish(p.Membership, p.machine)
	for _, entry := range entries {
		logEntry := wal.Entry{Index: entry.Index, Term: entry.Term, Data: entry.Data}
		consensus.ApplyEntry(next.machine, &next.Membership, logEntry)
	}
	if next.machine.CurrentRevision() != revision {
		return nil, false
	}
	return next, true
}

// Snapshot encodes the state.
func (p *PublishedState) Snapshot() []byte {
	return consensus.EncodeSnapshot(p.Membership, p.machine.Snapshot())
}

// Configuration returns the configuration, or false if this is the state of a service shard.
func (p *PublishedState) Configuration() (config.View, bool) {
	state, isConfiguration := p.machine.(*config.State)
	if !isConfiguration {
		return config.View{}, false
	}
	return state.View(), true
}

// Engines returns the registered engines, or false if this is the state of the configuration shard.
func (p *PublishedState) Engines() (registry.View, bool) {
	state, hasEngines := p.machine.(*registry.State)
	if !hasEngines {
		return registry.View{}, false
	}
	return state.View, true
}
