package controlplane

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/reservations"
)

// newReservationService makes the service of the shards that have engines.
func newReservationService(server *Server) *reservations.Service {
	var shards []reservations.Shard
	for _, shard := range server.shards[1:] {
		shards = append(shards, shard)
	}
	return reservations.NewService(reservations.Options{
		Server:                server.Name,
		Transport:             server.internalTransport,
		Clock:                 server.clock,
		Log:                   server.reservationLog,
		Shards:                shards,
		ObserveLongestRequest: server.observeLongestRequest,
	})
}

// startReservations starts the reservations of a member: those that its log on disk still has.
func (r *shardReplica) startReservations(slot int) {
	incarnation := r.server.Incarnation + r.restarts
	store := reservations.NewStore(incarnation, r.Clock.Now(), r.server.ShardReplicas(), slot)
	r.server.reservationLog.Replay(r.Clock.Now(), r.index, store.Store)
	r.reservations.Store(store)
}

// Index returns the number of the shard.
func (r *shardReplica) Index() int { return r.index }

// Reservations returns the store of this server's slot, nil while it is no member.
func (r *shardReplica) Reservations() *reservations.Store { return r.reservations.Load() }

// Position returns this server's place in the shard; false before the replica has started.
func (r *shardReplica) Position() (reservations.Position, bool) {
	status := r.status.Load()
	if status == nil {
		return reservations.Position{}, false
	}
	return reservations.Position{Slot: status.Slot, Epoch: status.Epoch}, true
}

// Membership returns the latest membership that this server knows.
func (r *shardReplica) Membership() consensus.Membership { return *r.membership.Load() }

// observeLongestRequest calls the function, in the loop of shard 0, with the longest time that a one-shot
// request may be under way by the applied configuration.
func (s *Server) observeLongestRequest(ctx context.Context, observe func(longest clock.Microseconds)) {
	s.shards[0].runInLoop(ctx, func() {
		longest := clock.Microseconds(0)
		for _, tenant := range s.configuration.View().Plan.Tenants {
			for _, template := range tenant.Kinds {
				if template.OneShot() {
					longest = max(longest, template.TotalTimeout())
				}
			}
		}
		observe(longest)
	})
}
