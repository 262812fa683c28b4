package controlplane

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus"
)

// startsLearner tells whether a message is a copy for a daemon without a vote that has no member
// for it: none yet, or one that learns for another slot.
func (s *shardReplica) startsLearner(message consensus.Message) bool {
	if message.Kind != consensus.MsgAppend || !message.Learner || s.server.NonMember || message.Address != s.server.self.Address {
		return false
	}
	return s.replica == nil || s.replica.IsLearner() && s.replica.Self != message.To
}

// startLearner starts a member that takes a copy and has no vote.
func (s *shardReplica) startLearner(ctx context.Context, slot int) {
	log.Info().Str("core", s.server.Node.Name).Int("part", s.index).Int("slot", slot).Msg("copy begins")
	membership := *s.membership.Load()
	s.resetState()
	replicaConfig := s.server.replicaConfig(s.index, slot, membership)
	replicaConfig.Incarnation += s.restarts
	replica, output := consensus.StartLearner(replicaConfig, s.stateMachine, s.server.wal.ShardState(s.index), s.Clock.Now())
	s.replica = replica
	s.processOutput(ctx, output)
}

// completePromotion gives a member that has just become a voter the claims that voters keep.
func (s *shardReplica) completePromotion() {
	if s.replica == nil || s.replica.IsLearner() || s.reservations.Load() != nil {
		return
	}
	log.Info().Str("core", s.server.Node.Name).Int("part", s.index).Int("slot", s.replica.Self).Msg("copy complete, the slot is held")
	s.startReservations(s.replica.Self)
}

// resetState empties what an earlier member has built.
func (s *shardReplica) resetState() {
	s.stateMachine.Restore(s.initialSnapshot)
	s.publishedIndex = 0
	s.offeredIndex.Store(0)
	s.restarts++
}

// startReservations begins the claims of a slot's holder.
func (s *shardReplica) startReservations(slot int) {
	reservations := newReservationStore(s.server.Incarnation+s.restarts, s.Clock.Now(), s.server.ShardReplicas(), slot)
	s.server.reservationLog.Replay(s.Clock.Now(), s.index, reservations.Store)
	s.reservations.Store(reservations)
}
