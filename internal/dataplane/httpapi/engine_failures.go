package httpapi

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// failureReportTimeout bounds the wait for the leader's decision on a failed attempt.
const failureReportTimeout = 200 * clock.Millisecond

// engineCall is one call of a request at one engine.
type engineCall struct {
	request *forwardedRequest
	engine  *registry.PickResult
	// phase is pairing.RolePrefill or pairing.RoleDecode.
	phase string
	// blameless says that the engine answered and only had nothing to give.
	blameless bool
}

// handleUnknownOutcome ends a call whose outcome is unknown, and asks the leader whether the request
// may be repeated, unless the caller has left.
func (h *Handler) handleUnknownOutcome(ctx context.Context, call engineCall, err error) error {
	request := call.request
	request.excludedEngines[call.engine.Name] = true
	request.retryAllowed = false
	h.cancelRun(ctx, request.runID, call.engine.Address)
	if ctx.Err() == nil {
		request.retryAllowed = h.reportFailure(ctx, call).Retry
	}
	_ = request.Transition(lifecycle.StateUnknown) // Always allowed: the call was running.
	return errcode.Wrap(err, errcode.ExecutionUnknown, call.phase+" at "+call.engine.Name)
}

// handleRejection ends a call that an engine answered with an error code.
func (h *Handler) handleRejection(ctx context.Context, call engineCall, code errcode.Code) error {
	request := call.request
	request.excludedEngines[call.engine.Name] = true
	err := errcode.New(code, "%s at %s", call.phase, call.engine.Name)
	if !code.ProvesNotStarted() {
		if code != errcode.Cancelled {
			request.retryAllowed = h.reportFailure(ctx, call).Retry
		}
		_ = request.Transition(lifecycle.StateFailed) // Always allowed: the call was running.
		return errcode.Wrap(err, errcode.ExecutionFailed, "the engine's response")
	}
	if call.phase == pairing.RolePrefill {
		request.RecordNotStarted()
		_ = request.Transition(lifecycle.StateMatched) // Always allowed: the request was prefilling.
		return errcode.Wrap(err, errcode.NoEngine, "the engine's response")
	}
	_ = request.Transition(lifecycle.StateTransferred) // Always allowed: the request was decoding.
	return err
}

// reportFailure reports a failed call to the leader of the service and returns its decision; no
// decision in time is no retry.
func (h *Handler) reportFailure(parent context.Context, call engineCall) controlapi.RetryDecision {
	h.EngineFailures.Add(1)
	request := call.request
	report := controlapi.FailureReport{
		Service:   request.template.Service,
		Engine:    call.engine.Name,
		Run:       request.runID,
		Stage:     call.phase,
		Streamed:  request.framesSent > 0,
		Blameless: call.blameless,
		OneShot:   request.template.OneShot(),
		Repeats:   request.template.Repeat,
		Tries:     request.Attempts,
		Left:      request.deadline - h.clock.Now(),
	}
	owner := request.engineTable.Owner()
	if owner == "" {
		return controlapi.RetryDecision{}
	}
	target := transport.Target{
		Address:   owner,
		Procedure: controlapi.FailureReportPath,
		Timeout:   failureReportTimeout,
	}
	decision, err := transport.Call[controlapi.FailureReport, controlapi.RetryDecision](
		parent, h.internal, target, &report,
	)
	if err != nil {
		return controlapi.RetryDecision{}
	}
	return *decision
}
