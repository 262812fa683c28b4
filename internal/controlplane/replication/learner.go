package replication

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus"
)

// shouldStartLearner reports whether a message requires this server to start a learner: a leader's append to
// this server as a learner, while this server has no replica or only a learner of another slot.
func (r *ShardReplica) shouldStartLearner(message consensus.Message) bool {
	isForLearner := message.Kind == consensus.MsgAppend && message.Learner
	if !isForLearner || r.options.NonMember || message.Address != r.options.Self.Address {
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

// completePromotion creates the reservation store of a learner that has just become a voter.
func (r *ShardReplica) completePromotion() {
	if r.replica == nil || r.replica.IsLearner() || r.reservations.Load() != nil {
		return
	}
	log.Info().Str("server", r.options.Self.Name).Int("shard", r.options.Shard).Int("slot", r.replica.Self).
		Msg("learner promoted to voter")
	r.startReservations(r.replica.Self)
}
