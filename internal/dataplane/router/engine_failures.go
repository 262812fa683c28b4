package router

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// failureReportTimeout bounds the wait for the leader's decision on a failed attempt.
const failureReportTimeout = 200 * clock.Millisecond

// engineFailure is a failed attempt at an engine.
type engineFailure struct {
	engine string
	// phase is pairing.RolePrefill or pairing.RoleDecode.
	phase string
	// blameless says that the engine answered and only had nothing to give.
	blameless bool
}

// handleUnknownOutcome ends an attempt whose outcome is unknown, and asks the leader whether the
// request may be repeated, unless the caller has left.
func (r *Router) handleUnknownOutcome(ctx context.Context, request *forwardedRequest, target *registry.PickResult, phase string, err error) error {
	request.excludedEngines[target.Name] = true
	request.retryAllowed = false
	r.cancelRun(ctx, request.runID, target.Address)
	if ctx.Err() == nil {
		failure := engineFailure{engine: target.Name, phase: phase}
		request.retryAllowed = r.reportFailure(ctx, request, failure).Retry
	}
	_ = request.Transition(lifecycle.StateUnknown) // Always allowed: the attempt was running.
	return errcode.Wrap(err, errcode.ExecutionUnknown, phase+" at "+target.Name)
}

// handleRejection ends an attempt that an engine answered with an error code.
func (r *Router) handleRejection(ctx context.Context, request *forwardedRequest, target *registry.PickResult, phase string, code errcode.Code) error {
	request.excludedEngines[target.Name] = true
	err := errcode.New(code, "%s at %s", phase, target.Name)
	if !code.ProvesNotStarted() {
		if code != errcode.Cancelled {
			failure := engineFailure{engine: target.Name, phase: phase}
			request.retryAllowed = r.reportFailure(ctx, request, failure).Retry
		}
		_ = request.Transition(lifecycle.StateFailed) // Always allowed: the attempt was running.
		return errcode.Wrap(err, errcode.ExecutionFailed, "the engine's response")
	}
	if phase == pairing.RolePrefill {
		request.RecordNotStarted()
		_ = request.Transition(lifecycle.StateMatched) // Always allowed: the request was prefilling.
		return errcode.Wrap(err, errcode.NoEngine, "the engine's response")
	}
	_ = request.Transition(lifecycle.StateTransferred) // Always allowed: the request was decoding.
	return err
}

// reportFailure reports a failed attempt to the leader of the service and returns its decision;
// no decision in time is no retry.
func (r *Router) reportFailure(parent context.Context, request *forwardedRequest, failure engineFailure) controlplane.RetryDecision {
	r.EngineFailures.Add(1)
	report := controlplane.FailureReport{
		Service:   request.template.Service,
		Engine:    failure.engine,
		Run:       request.runID,
		Stage:     failure.phase,
		Streamed:  request.framesSent > 0,
		Blameless: failure.blameless,
		OneShot:   request.template.OneShot(),
		Repeats:   request.template.Repeat,
		Tries:     request.Attempts,
		Left:      request.deadline - r.clock.Now(),
	}
	owner := request.engineTable.Owner()
	if owner == "" {
		return controlplane.RetryDecision{}
	}
	decision, err := transport.Call[controlplane.FailureReport, controlplane.RetryDecision](
		parent, r.internal, owner, controlplane.FailureReportPath, failureReportTimeout, &report)
	if err != nil {
		return controlplane.RetryDecision{}
	}
	return *decision
}
