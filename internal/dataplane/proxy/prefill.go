package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/platformport"
)

// releaseTimeout is the timeout of a call that releases an unused KV cache.
const releaseTimeout = clock.Second

// prefillForDecoder sends the prefill call to the selected prefill engine and returns the handle of
// the prompt's KV cache. If the call fails, it returns the outcome of the attempt and false.
func (f *forwardedRequest) prefillForDecoder(
	ctx context.Context,
	selection balancer.Selection,
) (platformport.KVHandle, attemptOutcome, bool) {
	f.tryTransition(lifecycle.StatePrefilling)
	if !f.balancer.Admit(f.now(), selection.Prefiller.Incarnation, balancer.PhasePrefill) {
		return platformport.KVHandle{}, outcomeReselect, false
	}
	kvHandle, outcome := f.prefill(ctx, selection)
	if outcome == platformport.OutcomeAnswered {
		return kvHandle, outcomeCompleted, true
	}
	if ctx.Err() != nil {
		return kvHandle, outcomeEnded, false
	}
	firstUnknown := outcome == platformport.OutcomeUnknown && f.prefillAttempts == 1
	f.allowSecondPrefill = firstUnknown && f.route.MaxAttempts > 1
	if !wasSent(outcome) || firstUnknown {
		return kvHandle, outcomeReselect, false
	}
	return kvHandle, outcomeRetryElsewhere, false
}

// prefill sends one prefill call and updates the counters of the request and the engine. A prefill
// call never runs the request, whatever its outcome.
func (f *forwardedRequest) prefill(
	ctx context.Context,
	selection balancer.Selection,
) (platformport.KVHandle, platformport.Outcome) {
	prefiller, startedAt := selection.Prefiller, f.now()
	f.balancer.AddPromptTokens(prefiller.Incarnation, f.urgency(), selection.UncachedTokens)
	f.prefillAttempts++
	f.retryAccount.addPrefill()
	// The first prefill call may always be canceled. A later one counts as an attempt, and may be
	// canceled only if the request has an attempt left after it.
	mayCancel := f.prefillAttempts == 1 || f.attempts+1 < f.route.MaxAttempts
	estimate := f.balancer.EstimateTimeout(startedAt, prefiller.Incarnation, balancer.PhasePrefill).
		AtLeast(selection.PrefillWait + selection.PrefillTime)
	attemptCtx, watchdog := f.startWatchdog(ctx, prefiller.Incarnation, mayCancel, estimate.Limit)
	attempt := f.newAttempt(prefiller)
	attempt.Withdrawn = func() bool { return !f.maySendTo(prefiller, balancer.PhasePrefill) }
	// The outcome classifies the error, so that the error itself is not needed.
	kvHandle, outcome, _ := f.proxy.engineClient.Prefill(attemptCtx, attempt)
	timedOut := attemptCtx.Err() != nil
	watchdog.stop()
	f.balancer.Release(prefiller.Incarnation)
	now := f.now()
	elapsed := clock.Microseconds(0)
	if outcome == platformport.OutcomeAnswered {
		f.retryAccount.recordPrefillAnswer()
		elapsed = now - startedAt
		f.recordPrefillTime(selection, elapsed)
		f.balancer.ObserveLatency(balancer.PhasePrefill, estimate, elapsed)
		f.balancer.RecordResponse(now, prefiller.Incarnation, kvHandle.Load)
	}
	if outcome != platformport.OutcomeAnswered {
		f.timing.add(phaseFailedCalls, now-startedAt)
	}
	if !wasSent(outcome) {
		f.prefillAttempts--
		f.retryAccount.undoPrefill()
	}
	f.balancer.FinishPrefill(now, prefiller.Incarnation, balancer.FinishedPrefill{
		Prompt:         f.request.Prompt,
		Urgency:        f.urgency(),
		UncachedTokens: selection.UncachedTokens,
		UnsharedOnly:   selection.UnsharedOnly,
		Elapsed:        elapsed,
	})
	if f.prefillIsAttempt(outcome) {
		f.attempts++
	}
	if outcome != platformport.OutcomeAnswered {
		f.excluded[prefiller.Incarnation] = true
		f.recordFailedCall(ctx, now, failedCall{prefiller.Incarnation, outcome, true, timedOut})
	}
	return kvHandle, outcome
}

// wasSent reports whether any part of a call may have been sent.
func wasSent(outcome platformport.Outcome) bool {
	return outcome != platformport.OutcomeNotSent && outcome != platformport.OutcomeWithdrawn
}

// recordPrefillTime records the duration of an answered prefill call. The placement owner gets it as
// a sample if the owner selected the engine and no queue was expected there.
func (f *forwardedRequest) recordPrefillTime(selection balancer.Selection, elapsed clock.Microseconds) {
	f.timing.addPrefill(elapsed, selection.PrefillTime)
	if !selection.PlacedByOwner || selection.PrefillWait > maxSampledWait {
		return
	}
	cached := -selection.UncachedTokens
	for _, chunk := range f.request.Prompt {
		cached += chunk.Tokens
	}
	f.proxy.placements.recordPrefill(f.service, placement.PrefillSample{
		Tokens:        selection.UncachedTokens,
		Cached:        max(cached, 0),
		ElapsedMicros: int64(elapsed),
	})
}

// prefillIsAttempt reports whether the last prefill call counts as an attempt. The request's first
// prefill call counts only if the engine rejected it. A call that was not sent never counts.
func (f *forwardedRequest) prefillIsAttempt(outcome platformport.Outcome) bool {
	switch outcome {
	case platformport.OutcomeNotSent, platformport.OutcomeWithdrawn:
		return false
	case platformport.OutcomeNotStarted, platformport.OutcomeMisdirected:
		return true
	case platformport.OutcomeUnknown, platformport.OutcomeAnswered:
	}
	return f.prefillAttempts > 1
}

// releaseKV releases an unused KV cache in the background. The source is the engine's address, a
// slash and the handle. The call may outlive the request by up to releaseTimeout.
func (f *forwardedRequest) releaseKV(ctx context.Context, address, source string) {
	kvHandle := source[len(address)+1:]
	f.proxy.KVReleased.Add(1)
	f.proxy.runInBackground(ctx, releaseTimeout, func(ctx context.Context) {
		// Errors are ignored: the engine drops a KV cache that is not released after some time.
		_ = f.proxy.engineClient.ReleaseKV(ctx, address, kvHandle)
	})
}
