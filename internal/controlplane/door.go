package core

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// Whoever asks at the door moves on after a second of silence, and is answered before.
const (
	doorBudget = 800 * schedule.Millisecond
	doorLeader = 600 * schedule.Millisecond
	doorAgain  = 50 * schedule.Millisecond
)

// Configure has an operation put in force, wherever its part is led. It ends within 800 ms,
// or within the context's own deadline if there is one. An outcome is what was committed,
// or was declined without a trace; an error with OutcomeUnknown may still take effect.
func (s *Core) Configure(parent context.Context, request configuration.Request) (configuration.Outcome, error) {
	if request.Kind == configuration.Evacuate || request.Kind == configuration.Return {
		if s.standstill.lately(s.clock.Now()) {
			return configuration.Outcome{}, mishap.New(mishap.NoMajority, "this core has stood still; the order may be an old one, and was not taken")
		}
		request.Observed = s.observe(parent)
	}
	answer, err := s.enter(parent, &Errand{Configure: &request})
	if err != nil {
		return configuration.Outcome{}, err
	}
	return answer.Outcome, nil
}

// observe is what this core has applied now. A core without a seat applies nothing and
// observes nothing.
func (s *Core) observe(parent context.Context) *configuration.Observation {
	shard := s.shards[0]
	if status := shard.status.Load(); status == nil || status.Slot < 0 {
		return nil
	}
	var sequence uint64
	if !shard.ask(parent, func() { sequence = s.configs.Number() }) {
		return nil
	}
	return &configuration.Observation{Sequence: sequence}
}

// Read is all that is in force, proved by a majority. It is bounded as Configure is.
func (s *Core) Read(parent context.Context) (configuration.View, error) {
	answer, err := s.enter(parent, &Errand{Read: true})
	if err != nil {
		return configuration.View{}, err
	}
	return answer.View, nil
}

// enter does an errand, and waits a little for a leader if none is in sight. Only what
// was surely not put into a log is tried again.
func (s *Core) enter(parent context.Context, errand *Errand) (*Errands, error) {
	bounded := parent
	if _, limited := parent.Deadline(); !limited {
		limit, cancel := context.WithTimeout(parent, doorBudget.Duration())
		defer cancel()
		bounded = limit
	}
	begun := s.clock.Now()
	for {
		answer, err := s.operate(bounded, errand)
		if err == nil {
			switch answer.Code {
			case mishap.NotOwner, mishap.NoMajority, mishap.OutcomeUnknown:
				err = mishap.New(answer.Code, "%s", answer.Text)
			default:
				return answer, nil
			}
		}
		code := mishap.CodeOf(err, mishap.OutcomeUnknown)
		again := code == mishap.NotOwner || errand.Read && code != mishap.NoMajority
		if !again || s.clock.Now()-begun > doorLeader {
			return nil, err
		}
		select {
		case <-time.After(doorAgain.Duration()):
		case <-bounded.Done():
			return nil, err
		}
	}
}
