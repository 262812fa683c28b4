package core

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus"
)

// learns tells whether a message is a copy for a daemon without a vote that has no member
// for it: none yet, or one that learns for another slot.
func (shard *shard) learns(message part.Message) bool {
	if message.Kind != part.Append || !message.Learner || shard.core.Seatless || message.Address != shard.core.seat.Address {
		return false
	}
	return shard.member == nil || shard.member.Learning() && shard.member.Self != message.To
}

// beginLearner starts a member that takes a copy and has no vote.
func (shard *shard) beginLearner(ctx context.Context, slot int) {
	log.Info().Str("core", shard.core.Machine.Name).Int("part", shard.index).Int("slot", slot).Msg("copy begins")
	bindings := *shard.seats.Load()
	shard.renew()
	place := shard.core.place(shard.index, slot, bindings)
	place.Life += shard.begun
	member, output := part.StartLearner(place, shard.state, shard.core.journal.Past(shard.index), shard.Clock.Now())
	shard.member = member
	shard.carry(ctx, output)
}

// graduates gives a member that has just become a voter the claims that voters keep.
func (shard *shard) graduates() {
	if shard.member == nil || shard.member.Learning() || shard.claims.Load() != nil {
		return
	}
	log.Info().Str("core", shard.core.Machine.Name).Int("part", shard.index).Int("slot", shard.member.Self).Msg("copy complete, the slot is held")
	shard.keepClaims(shard.member.Self)
}

// renew empties what an earlier member has built.
func (shard *shard) renew() {
	shard.state.Restore(shard.blank)
	shard.published = 0
	shard.offered.Store(0)
	shard.begun++
}

// keepClaims begins the claims of a slot's holder.
func (shard *shard) keepClaims(slot int) {
	remembered := newClaims(shard.core.Incarnation+shard.begun, shard.Clock.Now(), shard.core.Group(), slot)
	shard.core.diary.Recall(shard.Clock.Now(), shard.index, remembered.Registry)
	shard.claims.Store(remembered)
}
