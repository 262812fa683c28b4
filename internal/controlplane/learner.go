package controlplane

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus"
)

// startsLearner tells whether a message is a leader's append to this server as a learner for which there
// is no replica: none at all, or a learner for another slot.
func (r *shardReplica) startsLearner(message consensus.Message) bool {
	isForLearner := message.Kind == consensus.MsgAppend && message.Learner
	if !isForLearner || r.server.NonMember || message.Address != r.server.self.Address {
		return false
	}
	return r.replica == nil || r.replica.IsLearner() && r.replica.Self != message.To
}

// startLearner starts a replica that copies the log and has no vote.
func (r *shardReplica) startLearner(ctx context.Context, slot int) {
	log.Info().Str("server", r.server.Name).Int("shard", r.index).Int("slot", slot).Msg("learner started")
	membership := *r.membership.Load()
	r.resetState()
	stored := r.server.wal.ShardState(r.index)
	replica, output := consensus.StartLearner(r.replicaConfig(slot, membership), r.stateMachine, stored, r.Clock.Now())
	r.replica = replica
	r.processOutput(ctx, output)
}

// completePromotion starts the reservations of a learner that has just become a voter.
func (r *shardReplica) completePromotion() {
	if r.replica == nil || r.replica.IsLearner() || r.reservations.Load() != nil {
		return
	}
	log.Info().Str("server", r.server.Name).Int("shard", r.index).Int("slot", r.replica.Self).
		Msg("learner promoted to voter")
	r.startReservations(r.replica.Self)
}
