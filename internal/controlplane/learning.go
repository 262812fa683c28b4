package core

import (
	"context"

	"github.com/phuslu/log"

	"coursepass/internal/consensus"
)

// learns tells whether a message is a copy for a daemon without a vote that has no member
// for it: none yet, or one that learns for another slot.
func (s *shard) learns(message part.Message) bool {
	if message.Kind != part.Append || !message.Learner || s.core.Seatless || message.Address != s.core.seat.Address {
		return false
	}
	return s.member == nil || s.member.Learning() && s.member.Self != message.To
}

// beginLearner starts a member that takes a copy and has no vote.
func (s *shard) beginLearner(ctx context.Context, slot int) {
	log.Info().Str("core", s.core.Machine.Name).Int("part", s.index).Int("slot", slot).Msg("copy begins")
	bindings := *s.seats.Load()
	s.renew()
	place := s.core.place(s.index, slot, bindings)
	place.Life += s.begun
	member, output := part.StartLearner(place, s.state, s.core.journal.Past(s.index), s.Clock.Now())
	s.member = member
	s.carry(ctx, output)
}

// graduates gives a member that has just become a voter the claims that voters keep.
func (s *shard) graduates() {
	if s.member == nil || s.member.Learning() || s.claims.Load() != nil {
		return
	}
	log.Info().Str("core", s.core.Machine.Name).Int("part", s.index).Int("slot", s.member.Self).Msg("copy complete, the slot is held")
	s.keepClaims(s.member.Self)
}

// renew empties what an earlier member has built.
func (s *shard) renew() {
	s.state.Restore(s.blank)
	s.published = 0
	s.offered.Store(0)
	s.begun++
}

// keepClaims begins the claims of a slot's holder.
func (s *shard) keepClaims(slot int) {
	remembered := newClaims(s.core.Incarnation+s.begun, s.Clock.Now(), s.core.Group(), slot)
	s.core.diary.Recall(s.Clock.Now(), s.index, remembered.Registry)
	s.claims.Store(remembered)
}
