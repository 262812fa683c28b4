package controlplane

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// Whoever asks at the door moves on after a second of silence, and is answered before.
const (
	requestTimeout      = 800 * clock.Millisecond
	leaderWaitTimeout   = 600 * clock.Millisecond
	leaderRetryInterval = 50 * clock.Millisecond
)

// Configure has an operation put in force, wherever its part is led. It ends within 800 ms,
// or within the context's own deadline if there is one. An outcome is what was committed,
// or was declined without a trace; an error with OutcomeUnknown may still take effect.
func (s *Server) Configure(parent context.Context, request config.Request) (config.Outcome, error) {
	if request.Kind == config.OperationEvacuate || request.Kind == config.OperationReturn {
		if s.pauseDetector.recentlyPaused(s.clock.Now()) {
			return config.Outcome{}, errcode.New(errcode.NoQuorum, "this core has stood still; the order may be an old one, and was not taken")
		}
		request.Observed = s.appliedObservation(parent)
	}
	response, err := s.executeWithRetry(parent, &ControlRequest{Configure: &request})
	if err != nil {
		return config.Outcome{}, err
	}
	return response.Outcome, nil
}

// appliedObservation is what this core has applied now. A core without a seat applies nothing and
// observes nothing.
func (s *Server) appliedObservation(parent context.Context) *config.Observation {
	shard := s.shards[0]
	if status := shard.status.Load(); status == nil || status.Slot < 0 {
		return nil
	}
	var revision uint64
	if !shard.runInLoop(parent, func() { revision = s.configuration.Revision() }) {
		return nil
	}
	return &config.Observation{Sequence: revision}
}

// Read is all that is in force, proved by a majority. It is bounded as Configure is.
func (s *Server) Read(parent context.Context) (config.View, error) {
	response, err := s.executeWithRetry(parent, &ControlRequest{Read: true})
	if err != nil {
		return config.View{}, err
	}
	return response.View, nil
}

// executeWithRetry does an errand, and waits a little for a leader if none is in sight. Only what
// was surely not put into a log is tried again.
func (s *Server) executeWithRetry(parent context.Context, request *ControlRequest) (*ControlResponse, error) {
	ctx := parent
	if _, hasDeadline := parent.Deadline(); !hasDeadline {
		deadlineCtx, cancel := context.WithTimeout(parent, requestTimeout.Duration())
		defer cancel()
		ctx = deadlineCtx
	}
	startedAt := s.clock.Now()
	for {
		response, err := s.execute(ctx, request)
		if err == nil {
			switch response.Code {
			case errcode.NotLeader, errcode.NoQuorum, errcode.OutcomeUnknown:
				err = errcode.New(response.Code, "%s", response.Text)
			default:
				return response, nil
			}
		}
		code := errcode.CodeOf(err, errcode.OutcomeUnknown)
		retryable := code == errcode.NotLeader || request.Read && code != errcode.NoQuorum
		if !retryable || s.clock.Now()-startedAt > leaderWaitTimeout {
			return nil, err
		}
		select {
		case <-time.After(leaderRetryInterval.Duration()):
		case <-ctx.Done():
			return nil, err
		}
	}
}
