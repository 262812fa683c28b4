// Package reservations implements the service through which routers reserve the keys of one-shot requests, so
// that the request of each key runs once, however many routers receive it.
//
// Each member of a shard keeps its own reservations, in memory and in a log that is separate from the consensus
// log. A router needs the reservation of a majority of the slots. A member that may have lost reservations makes
// no new ones until it has copied the reservations of enough other slots, or until no request whose reservation
// it may have lost can still be running (see idempotency.RecoveryGate).
//
// NewService registers the handlers. Run then rebuilds incomplete stores until its context ends. The owner of a
// shard's replica creates a Store with NewStore when the replica becomes a member, and discards the store when
// the slot is lost.
package reservations

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

// noSlot is the slot of a server that is not a member.
const noSlot = -1

// Position is a server's slot and epoch in a shard.
type Position struct {
	// Slot is negative if the server is not a member.
	Slot  int
	Epoch uint64
}

// Shard is the interface of the service to the replica of a shard. Its methods may be called at any time.
type Shard interface {
	// Index returns the number of the shard.
	Index() int
	// Reservations returns the store of this server's slot, or nil while this server is not a member.
	Reservations() *Store
	// Position returns this server's slot and epoch. It returns false before the replica has started.
	Position() (Position, bool)
	// Membership returns the latest membership that this server knows. The service calls it only after the
	// replica has started.
	Membership() consensus.Membership
}

// Options configures a Service.
type Options struct {
	// Server is the name of this server in log lines.
	Server    string
	Transport *transport.Internal
	Clock     *clock.Clock
	Log       *idempotency.Log
	// Shards are the shards that have services, which are all shards except the shard of the configuration.
	Shards []Shard
	// ObserveLongestRequest calls observe with the maximum time that a one-shot request may run according to the
	// applied configuration.
	ObserveLongestRequest func(ctx context.Context, observe func(requestTimeout clock.Microseconds))
}

// Service serves the reservations of all shards that have services.
type Service struct {
	options Options
	// LogErrors is the number of failed writes to the reservation log.
	LogErrors atomic.Int64
}

// NewService creates a service and registers its handlers.
func NewService(options Options) *Service {
	service := &Service{options: options}
	service.registerHandlers()
	return service
}

// shard returns the shard with the given number. It returns false if the service has no such shard.
func (s *Service) shard(index int) (Shard, bool) {
	for _, shard := range s.options.Shards {
		if shard.Index() == index {
			return shard, true
		}
	}
	return nil, false
}
