package controlplane

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

const (
	// requestTimeout limits a request without a deadline of its own. Clients try another server after a
	// second of silence, and are answered before.
	requestTimeout = 800 * clock.Millisecond
	// leaderWaitTimeout is how long a request waits for a leader.
	leaderWaitTimeout   = 600 * clock.Millisecond
	leaderRetryInterval = 50 * clock.Millisecond
)

// Configure has an operation committed, wherever its shard is led. It ends within 800 ms, or within the
// context's own deadline if there is one. An outcome was committed, or was rejected without a trace; an
// error with code OutcomeUnknown may still take effect.
func (s *Server) Configure(parent context.Context, request config.Request) (config.Outcome, error) {
	if request.Kind == config.OperationEvacuate || request.Kind == config.OperationReturn {
		if s.pauseDetector.RecentlyPaused(s.clock.Now()) {
			return config.Outcome{}, errcode.New(errcode.NoQuorum,
				"this server stood still; the operation may be an old one, and was not taken")
		}
		request.Observed = s.appliedObservation(parent)
	}
	response, err := s.executeWithRetry(parent, &ControlRequest{Configure: &request})
	if err != nil {
		return config.Outcome{}, err
	}
	return response.Outcome, nil
}

// appliedObservation returns which revision this server has applied. A server without a slot applies
// nothing and observes nothing.
func (s *Server) appliedObservation(parent context.Context) *config.Observation {
	shard := s.shards[0]
	status := shard.PublishedStatus()
	if status == nil || status.Slot < 0 {
		return nil
	}
	var revision uint64
	if !shard.RunInLoop(parent, func() { revision = s.configuration.CurrentRevision() }) {
		return nil
	}
	return &config.Observation{Revision: revision}
}

// Read returns the committed configuration by a linearizable read. It ends as Configure does.
func (s *Server) Read(parent context.Context) (config.View, error) {
	response, err := s.executeWithRetry(parent, &ControlRequest{Read: true})
	if err != nil {
		return config.View{}, err
	}
	return response.View, nil
}

// executeWithRetry executes a request, and waits a little for a leader if there is none. Only what was
// surely not put into a log is tried again.
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
			err = undecidedError(response)
		}
		if err == nil {
			return response, nil
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

// undecidedError returns a forwarded response that decides nothing as an error.
func undecidedError(response *ControlResponse) error {
	switch response.Code {
	case errcode.NotLeader, errcode.NoQuorum, errcode.OutcomeUnknown:
		return errcode.New(response.Code, "%s", response.Text)
	default:
		return nil
	}
}
