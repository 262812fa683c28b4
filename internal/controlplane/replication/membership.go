package replication

import (
	"context"
	"coursepass/internal/clock"
	"coursepass/internal/consensus"

	"github.com/phuslu/log"
)

// ApplyMembership adopts a membership with a later epoch. The membership may give this server a slot, or
// show that its slot was given to another server while this server was unreachable.
func (r *ShardReplica) ApplyMembership(ctx context.Context, membership consensus.Membership) {
	r.loop.Put(ctx, func() {
		slot := membership.Slot(r.options.Self)
		currentEpoch := r.membership.Load().Epoch
		switch {
		case membership.Epoch < currentEpoch:
			// Ignored: an older membership may still list this server in a slot that it has lost.
		case membership.Epoch == currentEpoch && (r.replica != nil || slot < 0):
		case r.replica != nil && r.replica.IsLearner():
			// A learner receives its slot in a log entry from the leader, but needs the present members' addresses.
			r.processOutput(ctx, r.replica.AdoptMembership(r.options.Clock.Now(), membership))
		case r.replica == nil && slot >= 0:
			log.Info().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", slot).
				Uint64("epoch", membership.Epoch).Msg("slot received")
			r.startReplica(ctx, membership, false)
		case r.replica == nil:
			r.membership.Store(&membership)
		case slot < 0:
			r.stopReplica(membership)
		default:
			r.processOutput(ctx, r.replica.AdoptMembership(r.options.Clock.Now(), membership))
		}
	})
}

// SlotContact describes the member in a slot as the leader sees it.
type SlotContact struct {
	Member consensus.Member
	// IsLeader reports whether the slot is the leader's own.
	IsLeader bool
	// SilentFor is the time since the member last answered the leader.
	SilentFor clock.Microseconds
	// CaughtUp reports whether the member's log is close to the leader's commit index.
	CaughtUp bool
}

// SlotChoice is the slot that is chosen for a server, or NoSlot for none. A promotable server becomes the
// member in the slot once it has caught up; a server that is not promotable only copies the log.
type SlotChoice struct {
	Slot       int
	Promotable bool
}

// AdmitMember assigns a slot to a server if this server leads the shard: the slot that the server already
// has, or else the slot that choose returns. It must be called in the shard's loop. The messages that follow
// from the admission use the context of Run, since they outlive the join request.
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
