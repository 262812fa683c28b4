package replication

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/gossip"
	"coursepass/internal/state/idempotency"
)

// NoSlot is the slot index that means "no slot".
const NoSlot = -1

// Server is the interface through which a replica calls the server that it belongs to. The methods are
// called in the shard's loop; SendMessage is also called by the goroutine of the write-ahead log. No method
// may wait for the loop.
type Server interface {
	// SendMessage sends a message to the member that the message names, for as long as the server runs.
	SendMessage(message consensus.Message)
	// YieldsLeadership reports whether this server leaves leadership to other members.
	YieldsLeadership(membership consensus.Membership) bool
	// StateApplied is called after log entries have changed the state of a shard.
	StateApplied(shard int, now clock.Microseconds)
	// SlotLost is called when a replica has stopped because its slot was given to another server.
	SlotLost(shard int, now clock.Microseconds)
	// PublishState publishes the state of a shard to the other daemons. Each call runs in its own goroutine.
	PublishState(ctx context.Context, update gossip.Update, state gossip.State)
}

// Options configures a ShardReplica.
type Options struct {
	Server Server
	// Shard is the number of the shard.
	Shard int
	// StateMachine holds the shard's state. It must be empty when the replica is created.
	StateMachine shardstate.StateMachine
	// Self describes this server as a member.
	Self  consensus.Member
	Clock *clock.Clock
	Log   *wal.Log
	// ReservationLog holds the reservations that this server made before it restarted.
	ReservationLog *idempotency.Log
	// Seeds are the addresses of the servers that hold the slots of a new fleet. Slots is the number of slots.
	Seeds []string
	Slots int
	// Delta is δ, the upper bound on the delay of election messages.
	Delta         clock.Microseconds
	LeaseDuration clock.Microseconds
	// Incarnation is the incarnation of the server's process.
	Incarnation uint64
	// JoinExisting means that the address of a seed does not entitle a server to a slot.
	JoinExisting bool
	// FirstStart means that the whole fleet starts with empty disks.
	FirstStart bool
	// NonMember means that this server never takes a slot.
	NonMember bool
}
