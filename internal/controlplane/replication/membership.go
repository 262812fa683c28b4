package replication

import (
	"context"
	"coursepass/internal/clock"
	"coursepass/internal/consensus"

	"github.com/phuslu/log"
)

// ApplyMembership takes over a later membership: it may give this server a slot, or show that its own
// was given to another while it was away.
func (r *ShardReplica) ApplyMembership(ctx context.Context, membership consensus.Membership) {
	r.loop.Put(ctx, func() {
		slot := membership.Slot(r.options.Self)
		currentEpoch := r.membership.Load().Epoch
		switch {
		case membership.Epoch < currentEpoch:
			// An older membership may still have this server in a slot that it has lost.
		case membership.Epoch == currentEpoch && (r.replica != nil || slot < 0):
		case r.replica != nil && r.replica.IsLearner():
			// A learner learns its slot from the leader's entries.
		case r.replica == nil && slot >= 0:
			log.Info().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", slot).
				Uint64("epoch", membership.Epoch).Msg("slot received")
			r.startReplica(ctx, membership, false)
		case r.replica == nil:
			r.membership.Store(&membership)
		case slot < 0:
			r.stopReplica(membership)
		}
	})
}

// SlotContact is what a leader knows of the member in a slot.
type SlotContact struct {
	Member consensus.Member
	// IsLeader marks the leader's own slot.
	IsLeader bool
	// SilentFor is for how long the member has not answered.
	SilentFor clock.Microseconds
	CaughtUp  bool
}

// SlotChoice is the slot that a server is to get: NoSlot for none. It becomes a member there once it has
// caught up if it is promotable, and else only copies the log.
type SlotChoice struct {
	Slot       int
	Promotable bool
}

// AdmitMember gives a slot to a server, if this one leads the shard: the slot that it has already, or the
// one that the function chooses. It must be called in the shard's loop. What follows from the admission
// outlives the call that asked for it.
func (r *ShardReplica) AdmitMember(
	member consensus.Member, choose func(slots []SlotContact) SlotChoice,
) {
	if r.replica == nil || !r.replica.IsLeader() {
		return
	}
	now := r.options.Clock.Now()
	membership := r.replica.Membership()
	if currentSlot := membership.Slot(member); currentSlot >= 0 {
		r.processOutput(r.runContext, r.replica.RestoreMember(now, currentSlot, member))
		return
	}
	choice := choose(r.slotContacts(now, membership))
	if choice.Slot == NoSlot {
		return
	}
	r.processOutput(r.runContext, r.replica.AddLearner(now, consensus.LearnerRequest{
		Slot:       choice.Slot,
		Daemon:     member,
		Promotable: choice.Promotable,
	}))
}

func (r *ShardReplica) slotContacts(now clock.Microseconds, membership consensus.Membership) []SlotContact {
	contacts := make([]SlotContact, len(membership.Members))
	for slot, member := range membership.Members {
		contacts[slot] = SlotContact{
			Member:    member,
			IsLeader:  slot == r.replica.Self,
			SilentFor: r.replica.SinceLastContact(now, slot),
			CaughtUp:  r.replica.CaughtUp(slot),
		}
	}
	return contacts
}
