package core

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

const remindEvery = 500 * schedule.Millisecond

// remind has the owner of part 0 note when a notice has begun and when its window is over,
// so that whoever hears of it late doesn't count from the start again.
func (s *Core) remind(running context.Context) {
	schedule.Every(running, remindEvery, func() {
		status := s.shards[0].status.Load()
		if status == nil || !status.Owner || !s.board.Any() {
			return
		}
		var view configuration.View
		if !s.shards[0].ask(running, func() { view = s.configs.View() }) {
			return
		}
		for _, each := range view.Notices {
			phase := s.board.Phase(s.clock.Now(), each.Region)
			if phase <= each.Phase {
				continue
			}
			noted := notice.Notice{Region: each.Region, Sequence: each.Sequence, Phase: phase}
			operation := configuration.Operation{Request: configuration.Request{Kind: configuration.NoticePhase, Notice: noted}}
			bounded, cancel := context.WithTimeout(running, schedule.Second.Duration())
			_, _ = s.shards[0].propose(bounded, func() ([]byte, error) { return configuration.Encode(operation), nil })
			cancel()
		}
	})
}

// gone tells whether engines of a hall get no new work.
func (s *Core) gone(plan *configuration.View, hall string) bool {
	return plan.Gone(hall) || s.drained(hall)
}

// drained tells whether a hall stands in a region whose notice has begun.
func (s *Core) drained(hall string) bool {
	return s.board.Begun(s.clock.Now(), s.Settings.Regions().Of(hall))
}

// yields tells whether this core gives way as a candidate: it stands in a region whose
// notice has begun, and a majority of seats stands in others, so that every majority that
// can be heard has a candidate there.
func (s *Core) yields(bindings part.Bindings) bool {
	if !s.board.Any() || !s.drained(s.Machine.Hall) {
		return false
	}
	elsewhere := 0
	for _, seat := range bindings.Seats {
		if !seat.Vacant() && seat.Hall != "" && !s.drained(seat.Hall) {
			elsewhere++
		}
	}
	return elsewhere > len(bindings.Seats)/2
}
