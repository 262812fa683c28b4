package proxy

import (
	"context"
	"sync"

	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
)

// runningCall is a generate call whose response is relayed to the client.
type runningCall struct {
	decoder  platformport.Engine
	watchdog *attemptWatchdog
	// abort ends the call before the end of its response.
	abort func()
}

// generate sends the generate call to the decode engine and relays the response.
func (f *forwardedRequest) generate(
	ctx context.Context,
	selection balancer.Selection,
	attempt platformport.Attempt,
) attemptOutcome {
	decoder := selection.Decoder
	prefillTokens := f.countRun(selection)
	f.attempts++
	f.retryAccount.addRun()
	startedAt := f.now()
	prompt := f.request.Prompt
	f.balancer.AddRunning(startedAt, decoder.Incarnation, prompt, 1)
	finish := sync.OnceFunc(func() {
		f.balancer.AddRunning(f.now(), decoder.Incarnation, prompt, -1)
		f.balancer.Release(decoder.Incarnation)
	})
	defer finish()
	f.balancer.AddPromptTokens(decoder.Incarnation, f.urgency(), prefillTokens)
	f.RecordSend()
	estimate := f.balancer.EstimateTimeout(startedAt, decoder.Incarnation, balancer.PhaseDecode)
	mayCancel := f.route.IsRetryable() && f.attempts < f.route.MaxAttempts
	attemptCtx, watchdog := f.startWatchdog(ctx, decoder.Incarnation, mayCancel, estimate.Limit)
	defer watchdog.stop()
	// The outcome classifies the error, so that the error itself is not needed.
	response, outcome, _ := f.proxy.engineClient.Generate(attemptCtx, attempt)
	now := f.now()
	f.balancer.AddPromptTokens(decoder.Incarnation, f.urgency(), -prefillTokens)
	if outcome != platformport.OutcomeAnswered {
		f.timing.add(phaseFailedCalls, now-startedAt)
		keepsKV := selection.Split && !wasSent(outcome) && ctx.Err() == nil
		if selection.Split && !keepsKV && outcome != platformport.OutcomeUnknown {
			f.releaseKV(ctx, selection.Prefiller.Address, attempt.KVSource)
		}
		f.excluded[decoder.Incarnation] = true
		timedOut := attemptCtx.Err() != nil
		f.recordFailedCall(ctx, now, failedCall{decoder.Incarnation, outcome, response.Busy, timedOut})
		return f.handleFailedRun(ctx, outcome, keepsKV)
	}
	f.timing.add(phaseFirstToken, now-startedAt)
	f.balancer.RecordResponse(now, decoder.Incarnation, response.Load)
	f.balancer.ObserveLatency(balancer.PhaseDecode, estimate, now-startedAt)
	body := response.Body
	// An error of Close has no effect: the body was read to its end or is discarded.
	defer func() { _ = body.Close() }()
	abort := func() {
		watchdog.stop()
		_ = body.Close()
		finish()
	}
	return f.relayResponse(ctx, response, runningCall{decoder, watchdog, abort})
}

// countRun counts a generate call that is about to be sent. It returns the number of prompt tokens
// that the decode engine has to prefill, 0 for a split selection.
func (f *forwardedRequest) countRun(selection balancer.Selection) int {
	prefillTokens := 0
	if selection.Split {
		f.proxy.Split.Add(1)
	} else {
		f.proxy.Unsplit.Add(1)
		prefillTokens = selection.UncachedTokens
	}
	f.balancer.RecordDecodeWork(prefillTokens, f.request.MaxTokens)
	return prefillTokens
}

// handleFailedRun updates the request after a generate call without a response. keepsKV reports whether
// another decode engine may fetch the KV cache of the prompt. handleFailedRun returns the outcome of the
// attempt.
func (f *forwardedRequest) handleFailedRun(
	ctx context.Context, outcome platformport.Outcome, keepsKV bool,
) attemptOutcome {
	if outcome == platformport.OutcomeUnknown {
		f.tryTransition(lifecycle.StateUnknown)
		if ctx.Err() != nil {
			return outcomeEnded
		}
		return f.unknownRunOutcome()
	}
	f.RecordNotStarted()
	f.proxy.NotStarted.Add(1)
	if !wasSent(outcome) {
		// The call does not count as an attempt.
		f.attempts--
		f.retryAccount.undoRun()
	}
	if keepsKV {
		return outcomeOtherDecoder
	}
	f.resetForRetry(f.headWritten)
	if ctx.Err() != nil {
		return outcomeEnded
	}
	if !wasSent(outcome) {
		return outcomeReselect
	}
	return outcomeRetryElsewhere
}

// unknownRunOutcome returns the outcome of an attempt that may have run and whose response was lost.
func (f *forwardedRequest) unknownRunOutcome() attemptOutcome {
	if f.headWritten {
		return outcomeInterrupted
	}
	return outcomeMayHaveRun
}
