// Package reservations is the service by which routers reserve the keys of one-shot requests, so that each
// key runs once however many routers it reaches.
//
// Each member of a shard keeps reservations on its own, in memory and in a log beside the consensus log; a
// router needs those of a majority of the slots. A member that may have forgotten reservations makes none
// until it has copied those of enough other slots, or until no request that it may have forgotten can still
// be under way (see idempotency.RecoveryGate).
//
// NewService registers the handlers; Run then rebuilds incomplete stores until its context ends. The owner
// of a shard's replica makes a Store with NewStore when its replica becomes a member, and drops it when the
// slot is lost.
package reservations

import (
	"context"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/transport"
)

// noSlot is the slot of a server that is no member.
const noSlot = -1

// Position is a server's place in a shard.
type Position struct {
	// Slot is negative if the server is no member.
	Slot  int
	Epoch uint64
}

// Shard is what the service reads of a shard's replica. Its methods may be called at any time.
type Shard interface {
	// Index is the number of the shard.
	Index() int
	// Reservations returns the store of this server's slot, nil while it is no member.
	Reservations() *Store
	// Position returns this server's place; false before the replica has started.
	Position() (Position, bool)
	// Membership returns the latest membership that this server knows. It is only called after the replica
	// has started.
	Membership() consensus.Membership
}

// Options of a service.
type Options struct {
	// Server is the name of this server, for log lines.
	Server    string
	Transport *transport.Internal
	Clock     *clock.Clock
	Log       *idempotency.Log
	// Shards are the shards that have services.
	Shards []Shard
	// ObserveLongestRequest calls the function with the longest time that a one-shot request may be under
	// way by the applied configuration.
	ObserveLongestRequest func(ctx context.Context, observe func(longest clock.Microseconds))
}

// Service serves the reservations of all shards.
type Service struct {
	options Options
	// LogErrors counts writes to the reservation log that failed.
	LogErrors atomic.Int64
}

// NewService makes a service and registers its handlers.
func NewService(options Options) *Service {
	service := &Service{options: options}
	service.registerHandlers()
	return service
}

// shard returns a shard by its number; false if there is none with that number.
func (s *Service) shard(index int) (Shard, bool) {
	for _, shard := range s.options.Shards {
		if shard.Index() == index {
			return shard, true
		}
	}
	return nil, false
}
