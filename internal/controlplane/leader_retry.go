package controlplane

import (
	"context"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

const (
	// requestTimeout is the timeout of a request whose context has no deadline. Clients try another server after one
	// second without a response, so this server responds earlier.
	requestTimeout = 800 * clock.Millisecond
	// leaderWaitTimeout is the maximum time that a request waits for a leader.
	leaderWaitTimeout = 600 * clock.Millisecond
	// leaderRetryInterval is the time between two attempts of a request that waits for a leader.
	leaderRetryInterval = 50 * clock.Millisecond
)

// Configure commits a configuration operation, whichever server leads shard 0. It returns within 800 ms, or before the
// deadline of the context if the context has one. An outcome means that the operation was committed, or that it was
// rejected and changed nothing. After an error with code OutcomeUnknown, the operation may still take effect.
func (s *Server) Configure(parent context.Context, request config.Request) (config.Outcome, error) {
	controlRequest := &ControlRequest{Configure: &request}
	if err := s.acceptChange(parent, controlRequest); err != nil {
		return config.Outcome{}, err
	}
	response, err := s.executeWithRetry(parent, controlRequest)
	if err != nil {
		return config.Outcome{}, err
	}
	return response.Outcome, nil
}

// Read returns the committed configuration by a linearizable read. It returns within the same time as Configure.
func (s *Server) Read(parent context.Context) (config.View, error) {
	response, err := s.executeWithRetry(parent, &ControlRequest{Read: true})
	if err != nil {
		return config.View{}, err
	}
	return response.View, nil
}

// executeWithRetry executes a request, and retries it for up to leaderWaitTimeout while there is no leader. It retries
// an operation only if the operation was certainly not appended to a log.
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

// undecidedError returns an error for a forwarded response whose code does not say whether the request was accepted or
// rejected, and nil for any other response.
func undecidedError(response *ControlResponse) error {
	switch response.Code {
	case errcode.NotLeader, errcode.NoQuorum, errcode.OutcomeUnknown:
		return errcode.New(response.Code, "%s", response.Text)
	default:
		return nil
	}
}
