package httpapi

import (
	"context"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// decode sends the ticket to the decode engine, which generates the tokens. Another engine gets the
// same ticket only if the first one left service before the ticket was sent, or if its own response proves
// that it did not start.
func (h *Handler) decode(
	ctx context.Context, request *forwardedRequest, pair enginePair, ticket engineapi.Ticket,
) error {
	if !request.engineTable.InService(pair.decoder.Engine, pairing.RoleDecode) {
		pair.decoder.Done(registry.DoneInfo{ObservedAt: h.clock.Now()})
		// No engine has failed, so that a retry needs no decision of the leader.
		request.retryAllowed = true
		if err := h.replaceDecoder(ctx, request, &pair); err != nil {
			return err
		}
	}
	for attempts := 1; ; attempts++ {
		err := h.runDecode(ctx, request, pair, ticket)
		if err == nil || request.State != lifecycle.StateTransferred {
			return err
		}
		code := errcode.CodeOf(err, errcode.ExecutionUnknown)
		if code == errcode.KVHandleUnknown || attempts >= maxAttempts || !request.retryBudget.Withdraw() {
			request.retryAllowed = false
			// A busy decode engine is not reported as a failure. An expired KV cache is reported, but
			// as blameless, since it is no evidence of a fault of the prefill engine.
			if code == errcode.KVHandleUnknown {
				call := engineCall{request: request, engine: pair.prefiller, phase: pairing.RoleDecode, blameless: true}
				request.retryAllowed = h.reportFailure(ctx, call).Retry
			}
			return h.failAfterPrefill(ctx, request, pair, errcode.Wrap(err, errcode.ExecutionFailed, "decode after a completed prefill"))
		}
		h.Retries.Add(1)
		if err := h.replaceDecoder(ctx, request, &pair); err != nil {
			return err
		}
	}
}

// replaceDecoder waits for another decode engine that is paired with the prefill engine. If there is none, it
// fails the request.
func (h *Handler) replaceDecoder(ctx context.Context, request *forwardedRequest, pair *enginePair) error {
	selectDecoder := func(now clock.Microseconds, requirements registry.Requirements) (selected, eligible bool) {
		requirements.Role = pairing.RoleDecode
		requirements.PrefillEngine = pair.prefiller.Name
		pair.decoder, eligible = request.engineTable.Pick(now, requirements)
		return pair.decoder != nil, eligible
	}
	err := h.waitForEngine(ctx, request, operationDecode, selectDecoder)
	if err == nil {
		return nil
	}
	err = errcode.Wrap(err, errcode.ExecutionFailed, "prompt was prefilled, but no engine decoded it")
	return h.failAfterPrefill(ctx, request, *pair, err)
}

// failAfterPrefill fails a request whose prompt was prefilled, tells the prefill engine to cancel the
// run, and returns the error with which the request ends.
func (h *Handler) failAfterPrefill(ctx context.Context, request *forwardedRequest, pair enginePair, err error) error {
	h.cancelRun(ctx, request.runID, pair.prefiller.Address)
	_ = request.Transition(lifecycle.StateFailed) // This cannot fail: the state is StateTransferred.
	return err
}

// runDecode runs one decode call and relays its frames to the caller.
func (h *Handler) runDecode(
	parent context.Context, request *forwardedRequest, pair enginePair, ticket engineapi.Ticket,
) error {
	call := engineCall{request: request, engine: pair.decoder, phase: pairing.RoleDecode}
	ctx, watchdog := h.startWatchdog(parent, request, pair.decoder)
	defer watchdog.stop()
	doneInfo := registry.DoneInfo{}
	defer func() {
		doneInfo.ObservedAt = h.clock.Now()
		pair.decoder.Done(doneInfo)
	}()
	_ = request.Transition(lifecycle.StateDecoding) // This cannot fail: the state is StateTransferred.
	response, err := h.post(ctx, pair.decoder.Address, engineapi.DecodePath, engineapi.DecodeRequest{
		Ticket:  ticket,
		Key:     request.reservationKey(),
		Service: request.template.Service,
		Source:  pair.prefiller.Address,
		Tokens:  request.Tokens,
		Timeout: request.deadline - h.clock.Now(),
	})
	if err != nil {
		doneInfo.Failed = parent.Err() == nil
		h.cancelRun(parent, request.runID, pair.prefiller.Address)
		return h.handleUnknownOutcome(parent, call, err)
	}
	defer closeBody(response)
	doneInfo.Running = reportedRunning(response)
	if response.StatusCode != http.StatusOK {
		code := rejectionCode(response)
		doneInfo.Saturated = code.ProvesNotStarted() && code != errcode.KVHandleUnknown
		doneInfo.WarmingUp = code == errcode.EngineWarmingUp
		return h.handleRejection(parent, call, code)
	}
	err = request.relayFrames(response.Body, ticket, watchdog.recordFrame)
	if err == nil {
		return request.Transition(lifecycle.StateFinished)
	}
	if request.framesSent == 0 {
		doneInfo.Failed = parent.Err() == nil
		return h.handleUnknownOutcome(parent, call, err)
	}
	h.cancelRun(parent, request.runID, pair.decoder.Address)
	go h.reportFailure(context.WithoutCancel(parent), call)
	return err
}
