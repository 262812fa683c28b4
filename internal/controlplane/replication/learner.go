package replication

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

const (
	// recoveryLimit is the users' bound on the recovery of the fleet after a loss, recover-s.
	recoveryLimit = 12 * clock.Second
	// learnerStallTimeout is the time without progress after which a learner starts over. It leaves the other half of
	// recoveryLimit for the second attempt.
	learnerStallTimeout = recoveryLimit / 2
)

// shouldStartLearner reports whether a message requires this server to start a learner: a leader's append to
// this server as a learner, while this server has no replica or only a learner of another slot. The message must
// name this server's data directory: one that was sent to an earlier disk at this address comes from a leader that
// takes this server's log for longer than it is, and may have lost its leadership since.
func (r *ShardReplica) shouldStartLearner(message consensus.Message) bool {
	isForLearner := message.Kind == consensus.MsgAppend && message.Learner
	isForThisDisk := message.Address == r.options.Self.Address && message.Receiver == r.options.Self.Identity
	if !isForLearner || !isForThisDisk || r.options.NonMember {
		return false
	}
	return r.replica == nil || r.replica.IsLearner() && r.replica.Self != message.To
}

// startLearner starts a learner in the given slot: a replica that copies the log and has no vote.
func (r *ShardReplica) startLearner(ctx context.Context, slot int) {
	log.Info().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", slot).Msg("learner started")
	membership := *r.membership.Load()
	r.resetState()
	storedState := r.options.Log.ShardState(r.options.Shard)
	now := r.options.Clock.Now()
	replicaConfig := r.replicaConfig(slot, membership)
	replica, output := consensus.StartLearner(replicaConfig, r.options.StateMachine, storedState, now)
	r.replica = replica
	r.processOutput(ctx, output)
}

// restartStalledLearner drops what a learner has copied if it has made no progress for learnerStallTimeout. This server
// then asks for a slot anew, and starts over with the leader that answers.
func (r *ShardReplica) restartStalledLearner(now clock.Microseconds) {
	if !r.replica.IsLearner() || r.replica.SinceProgress(now) < learnerStallTimeout {
		return
	}
	log.Warn().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", r.replica.Self).
		Uint64("commitIndex", r.CurrentHead().Index).Msg("learner without progress starts over")
	r.LearnerRestarts.Add(1)
	r.options.Log.Append(wal.ResetRecords(r.options.Shard), func() {})
	membership := r.replica.Membership()
	if known := r.membership.Load(); known.Epoch > membership.Epoch {
		membership = *known
	}
	r.discardReplica(membership)
}

// completePromotion creates the reservation store of a learner that has just become a voter.
func (r *ShardReplica) completePromotion() {
	if r.replica == nil || r.replica.IsLearner() || r.reservations.Load() != nil {
		return
	}
	log.Info().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", r.replica.Self).
		Msg("learner promoted to voter")
	r.startReservations(r.replica.Self)
}
