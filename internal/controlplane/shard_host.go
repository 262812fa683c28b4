package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/gossip"
)

// shardHost is the server as its replicas see it.
type shardHost struct{ server *Server }

var _ replication.Server = shardHost{}

// SendMessage sends a consensus message to another server.
func (h shardHost) SendMessage(message consensus.Message) { h.server.sendMessage(message) }

// YieldsLeadership tells whether the server lets others become leader.
func (h shardHost) YieldsLeadership(membership consensus.Membership) bool {
	return h.server.yieldsLeadership(membership)
}

// StateApplied follows the maintenance windows of the configuration. It is called in the shard's loop.
func (h shardHost) StateApplied(shard int, now clock.Microseconds) {
	if shard == 0 {
		h.server.maintenance.Update(now, h.server.configuration.MaintenanceWindows)
	}
}

// SlotLost forgets the maintenance windows: without a slot in shard 0 the server no longer learns of them.
func (h shardHost) SlotLost(shard int, now clock.Microseconds) {
	if shard == 0 {
		h.server.maintenance.Update(now, nil)
	}
}

// PublishState gives the state of a shard to gossip.
func (h shardHost) PublishState(ctx context.Context, update gossip.Update, state gossip.State) {
	h.server.gossip.Publish(ctx, update, state)
}
