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

// NoSlot is the index that stands for no slot at all.
const NoSlot = -1

// Server is what a replica asks of the server that it belongs to. The methods are called in the shard's
// loop, SendMessage also by the goroutine of the log; none may wait for the loop.
type Server interface {
	// SendMessage sends a message to the member that it names, for as long as the server runs.
	SendMessage(message consensus.Message)
	// YieldsLeadership tells whether this server lets other members become leader.
	YieldsLeadership(membership consensus.Membership) bool
	// StateApplied is called after log entries have changed the state of a shard.
	StateApplied(shard int, now clock.Microseconds)
	// SlotLost is called when a replica has ended because its slot is another server's.
	SlotLost(shard int, now clock.Microseconds)
	// PublishState publishes the state of a shard to the other daemons. It is called in a goroutine of its own.
	PublishState(ctx context.Context, update gossip.Update, state gossip.State)
}

// Options of a replica.
type Options struct {
	Server Server
	// Shard is the number of the shard.
	Shard int
	// StateMachine is the shard's state, empty yet.
	StateMachine shardstate.StateMachine
	// Self is this server as a member.
	Self  consensus.Member
	Clock *clock.Clock
	Log   *wal.Log
	// ReservationLog has the reservations that this server has made before.
	ReservationLog *idempotency.Log
	// Seeds are the addresses whose servers have the slots of a new fleet, Slots the number of slots.
	Seeds []string
	Slots int
	// Delta is δ, the bound on the delay of election messages.
	Delta         clock.Microseconds
	LeaseDuration clock.Microseconds
	// Incarnation is that of the server's process.
	Incarnation uint64
	// JoinExisting says that no slot belongs to a server for being at the address of a seed.
	JoinExisting bool
	// FirstStart says that the whole fleet starts on empty disks.
	FirstStart bool
	// NonMember says that this server never takes a slot.
	NonMember bool
}
