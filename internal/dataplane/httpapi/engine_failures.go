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

// failureReportTimeout is the timeout of a failure report, and thus of the leader's decision on a retry.
const failureReportTimeout = 200 * clock.Millisecond

// engineCall is one prefill or decode call of a request at one engine.
type engineCall struct {
	request *forwardedRequest
	engine  *registry.PickResult
	// phase is pairing.RolePrefill or pairing.RoleDecode.
	phase string
	// blameless says that the failure is no evidence of a fault of the engine, for example because the
	// KV cache has expired.
	blameless bool
}

// handleUnknownOutcome ends a call whose outcome is unknown. Unless the context has ended, it asks the
// leader whether the request may be retried.
func (h *Handler) handleUnknownOutcome(ctx context.Context, call engineCall, err error) error {
	request := call.request
	request.excludedEngines[call.engine.Name] = true
	request.retryAllowed = false
	h.cancelRun(ctx, request.runID, call.engine.Address)
	if ctx.Err() == nil {
		request.retryAllowed = h.reportFailure(ctx, call).Retry
	}
	_ = request.Transition(lifecycle.StateUnknown) // This cannot fail: the call was running.
	return errcode.Wrap(err, errcode.ExecutionUnknown, call.phase+" at "+call.engine.Name)
}

// handleRejection ends a call to which the engine responded with an error code. Unless the code proves
// that the engine did not start, it asks the leader whether the request may be retried.
func (h *Handler) handleRejection(ctx context.Context, call engineCall, code errcode.Code) error {
	request := call.request
	request.excludedEngines[call.engine.Name] = true
	err := errcode.New(code, "%s at %s", call.phase, call.engine.Name)
	if !code.ProvesNotStarted() {
		if code != errcode.Cancelled {
			request.retryAllowed = h.reportFailure(ctx, call).Retry
		}
		_ = request.Transition(lifecycle.StateFailed) // This cannot fail: the call was running.
		return errcode.Wrap(err, errcode.ExecutionFailed, "the engine reported a failure")
	}
	if call.phase == pairing.RolePrefill {
		request.RecordNotStarted()
		_ = request.Transition(lifecycle.StateMatched) // This cannot fail: the state is StatePrefilling.
		return errcode.Wrap(err, errcode.NoEngine, "the engine did not start the request")
	}
	_ = request.Transition(lifecycle.StateTransferred) // This cannot fail: the state is StateDecoding.
	return err
}

// reportFailure reports a failed call to the leader of the service's shard and returns the leader's
// decision. If there is no decision in time, the request may not be retried.
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
