package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/gossip"
)

// shardHost implements replication.Server: it provides the replicas of a server with the functions of the server.
type shardHost struct{ server *Server }

var _ replication.Server = shardHost{}

// SendMessage sends a consensus message to another server.
func (h shardHost) SendMessage(message consensus.Message) { h.server.sendMessage(message) }

// YieldsLeadership reports whether the server lets other members become leader.
func (h shardHost) YieldsLeadership(membership consensus.Membership) bool {
	return h.server.yieldsLeadership(membership)
}

// StateApplied updates the tracked maintenance windows after the state of shard 0 has changed. It is called in the loop
// of the shard.
func (h shardHost) StateApplied(shard int, now clock.Microseconds) {
	if shard == 0 {
		h.server.maintenance.Update(now, h.server.configuration.MaintenanceWindows)
	}
}

// SlotLost clears the tracked maintenance windows, because a server without a slot in shard 0 gets no updates of them.
func (h shardHost) SlotLost(shard int, now clock.Microseconds) {
	if shard == 0 {
		h.server.maintenance.Update(now, nil)
	}
}

// PublishState publishes the state of a shard through gossip.
func (h shardHost) PublishState(ctx context.Context, update gossip.Update, state gossip.State) {
	h.server.gossip.Publish(ctx, update, state)
}
