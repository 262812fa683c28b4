package replication

import (
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/reservations"
)

// startReservations creates the reservation store of a member and replays into it the reservations that the
// member's log on disk still holds.
func (r *ShardReplica) startReservations(slot int) {
	incarnation := r.options.Incarnation + r.replicaStarts
	store := reservations.NewStore(incarnation, r.options.Clock.Now(), r.options.Slots, slot)
	r.options.ReservationLog.Replay(r.options.Clock.Now(), r.options.Shard, store.Store)
	r.reservations.Store(store)
}

// Index returns the number of the shard.
func (r *ShardReplica) Index() int { return r.options.Shard }

// Reservations returns the reservation store of this server's slot, or nil while this server is not a member.
func (r *ShardReplica) Reservations() *reservations.Store { return r.reservations.Load() }

// Position returns this server's slot and epoch in the shard. It returns false before the replica has started.
func (r *ShardReplica) Position() (reservations.Position, bool) {
	status := r.status.Load()
	if status == nil {
		return reservations.Position{}, false
	}
	return reservations.Position{Slot: status.Slot, Epoch: status.Epoch}, true
}

// Membership returns the latest membership that this server knows. Before the replica has started, the
// membership has no slots.
func (r *ShardReplica) Membership() consensus.Membership {
	membership := r.membership.Load()
	if membership == nil {
		return consensus.Membership{}
	}
	return *membership
}
