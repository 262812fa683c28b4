package proxy

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
)

// attempt sends the request along a choice.
func (way *forwardedRequest) attempt(ctx context.Context, selection balancer.Selection) attemptOutcome {
	way.mustTransition(lifecycle.StateMatched)
	if !way.payForArrival() {
		way.resetForRetry(way.headWritten)
		return outcomeNoRetryToken
	}
	attempt := way.newAttempt(selection.Decoder)
	if selection.Split {
		way.mustTransition(lifecycle.StatePrefilling)
		if !way.balancer.Admit(way.now(), selection.Prefiller.Incarnation) {
			way.resetForRetry(way.headWritten)
			return outcomeReselect
		}
		kvHandle, outcome := way.prefill(ctx, selection)
		if outcome != platformport.OutcomeAnswered {
			way.resetForRetry(way.headWritten)
			if ctx.Err() != nil {
				return outcomeEnded
			}
			way.allowSecondPrefill = outcome == platformport.OutcomeUnknown && way.prefillAttempts == 1 && way.route.Tries > 1
			if outcome == platformport.OutcomeNotSent || outcome == platformport.OutcomeUnknown && way.prefillAttempts == 1 {
				return outcomeReselect
			}
			return outcomeRetryElsewhere
		}
		way.mustTransition(lifecycle.StateTransferred)
		attempt.KVSource, attempt.ModelVersion = selection.Prefiller.Address+"/"+kvHandle.Name, kvHandle.ModelVersion
	}
	// Its region may have been shut while the prompt was read elsewhere.
	regionClosed := way.proxy.maintenance.HasStarted(way.now(), way.proxy.Regions.RegionOf(selection.Decoder.Zone))
	if regionClosed || !way.balancer.Admit(way.now(), attempt.Incarnation) {
		if !selection.Split {
			way.resetForRetry(way.headWritten)
			return outcomeReselect
		}
		alternative, ok := way.balancer.SelectDecoder(way.now(), way.requirements(), selection.Prefiller.Incarnation)
		if !ok || !way.balancer.Admit(way.now(), alternative.Incarnation) {
			way.releaseKV(selection.Prefiller.Address, attempt.KVSource)
			way.resetForRetry(way.headWritten)
			return outcomeRetryElsewhere
		}
		selection.Decoder, attempt.Address, attempt.Incarnation = alternative, alternative.Address, alternative.Incarnation
	}
	if selection.Split && !way.payForArrival() {
		way.releaseKV(selection.Prefiller.Address, attempt.KVSource)
		way.balancer.Release(attempt.Incarnation)
		way.resetForRetry(way.headWritten)
		return outcomeNoRetryToken
	}
	way.mustTransition(lifecycle.StateDecoding)
	return way.forward(ctx, selection, attempt)
}

// prefill has the reader read the prompt. It does not run the request, whatever becomes of it.
func (way *forwardedRequest) prefill(ctx context.Context, selection balancer.Selection) (platformport.KVHandle, platformport.Outcome) {
	prefiller, startedAt := selection.Prefiller, way.now()
	way.balancer.AddPromptTokens(prefiller.Incarnation, selection.UncachedTokens)
	way.prefillAttempts++
	way.retryAccount.addPrefill()
	// A first read may always be given up; a further one counts as an attempt.
	mayCancel := way.prefillAttempts == 1 || way.attempts+1 < way.route.Tries
	estimate := way.balancer.EstimateTimeout(startedAt, prefiller.Incarnation, balancer.PhasePrefill)
	attemptCtx, watchdog := way.startWatchdog(ctx, prefiller.Incarnation, mayCancel, estimate.Limit)
	kvHandle, outcome, _ := way.proxy.engineClient.Prefill(attemptCtx, way.newAttempt(prefiller))
	timedOut := attemptCtx.Err() != nil
	watchdog.stop()
	way.balancer.Release(prefiller.Incarnation)
	now := way.now()
	elapsed := clock.Microseconds(0)
	if outcome == platformport.OutcomeAnswered {
		way.retryAccount.confirmPrefill()
		elapsed = now - startedAt
		way.balancer.ObserveLatency(balancer.PhasePrefill, estimate, elapsed)
		way.balancer.RecordResponse(now, prefiller.Incarnation, kvHandle.Load)
	}
	if outcome == platformport.OutcomeNotSent {
		way.prefillAttempts--
		way.retryAccount.undoPrefill()
	}
	way.balancer.FinishPrefill(now, prefiller.Incarnation, way.request.Prompt, selection.UncachedTokens, elapsed, selection.UnsharedOnly)
	// The first reading that an engine takes up is no attempt; one that is turned away is.
	if outcome != platformport.OutcomeNotSent && (way.prefillAttempts > 1 || outcome == platformport.OutcomeNotStarted || outcome == platformport.OutcomeMisdirected) {
		way.attempts++
	}
	if outcome == platformport.OutcomeAnswered {
		return kvHandle, outcome
	}
	way.excluded[prefiller.Incarnation] = true
	way.recordFailedAttempt(now, prefiller.Incarnation, outcome, true, timedOut, ctx)
	return kvHandle, outcome
}

func (way *forwardedRequest) recordFailedAttempt(now clock.Microseconds, incarnation string, outcome platformport.Outcome, busy, timedOut bool, ctx context.Context) {
	switch {
	case ctx.Err() != nil:
	case outcome == platformport.OutcomeMisdirected:
		way.balancer.RecordStaleEntry(now, incarnation)
	case outcome == platformport.OutcomeNotStarted && busy:
		way.balancer.RecordRejection(now, incarnation)
	default:
		way.reportEngineFailure(now, incarnation, timedOut)
	}
}

// reportEngineFailure notes that an engine broke off, was silent or could not be reached. Others are told
// but for silence, which may be no more than a long queue.
func (way *forwardedRequest) reportEngineFailure(now clock.Microseconds, incarnation string, timedOut bool) {
	way.proxy.EngineFailures.Add(1)
	way.balancer.RecordFailure(now, incarnation)
	if way.proxy.OnSuspect != nil && !timedOut {
		way.proxy.OnSuspect(way.service, incarnation)
	}
}

// forward has the writer make the answer, and passes it on.
func (way *forwardedRequest) forward(ctx context.Context, selection balancer.Selection, attempt platformport.Attempt) attemptOutcome {
	decoder := selection.Decoder
	if selection.Split {
		way.proxy.Split.Add(1)
		way.balancer.RecordDecodeWork(0, way.request.MaxTokens)
	} else {
		way.proxy.Unsplit.Add(1)
		way.balancer.RecordDecodeWork(selection.UncachedTokens, way.request.MaxTokens)
	}
	way.attempts++
	way.retryAccount.addRun()
	startedAt := way.now()
	way.balancer.AddRunning(startedAt, decoder.Incarnation, way.request.Prompt, 1)
	finish := sync.OnceFunc(func() {
		way.balancer.AddRunning(way.now(), decoder.Incarnation, nil, -1)
		way.balancer.Release(decoder.Incarnation)
	})
	defer finish()
	prefillTokens := 0
	if !selection.Split {
		prefillTokens = selection.UncachedTokens
	}
	way.balancer.AddPromptTokens(decoder.Incarnation, prefillTokens)
	way.RecordSend()
	estimate := way.balancer.EstimateTimeout(startedAt, decoder.Incarnation, balancer.PhaseDecode)
	attemptCtx, watchdog := way.startWatchdog(ctx, decoder.Incarnation, way.route.IsRetryable() && way.attempts < way.route.Tries, estimate.Limit)
	defer watchdog.stop()
	response, outcome, _ := way.proxy.engineClient.Generate(attemptCtx, attempt)
	now := way.now()
	way.balancer.AddPromptTokens(decoder.Incarnation, -prefillTokens)
	if outcome == platformport.OutcomeAnswered {
		way.balancer.RecordResponse(now, decoder.Incarnation, response.Load)
		way.balancer.ObserveLatency(balancer.PhaseDecode, estimate, now-startedAt)
	}
	if outcome != platformport.OutcomeAnswered {
		if selection.Split && outcome != platformport.OutcomeUnknown {
			way.releaseKV(selection.Prefiller.Address, attempt.KVSource)
		}
		way.excluded[decoder.Incarnation] = true
		way.recordFailedAttempt(now, decoder.Incarnation, outcome, response.Busy, attemptCtx.Err() != nil, ctx)
		if outcome == platformport.OutcomeUnknown {
			way.mustTransition(lifecycle.StateUnknown)
			if ctx.Err() != nil {
				return outcomeEnded
			}
			return way.unknownOutcome()
		}
		way.RecordNotStarted()
		way.resetForRetry(way.headWritten)
		way.proxy.NotStarted.Add(1)
		if ctx.Err() != nil {
			return outcomeEnded
		}
		if outcome == platformport.OutcomeNotSent {
			// An engine that could not be reached was not sent to.
			way.attempts--
			way.retryAccount.undoRun()
			return outcomeReselect
		}
		return outcomeRetryElsewhere
	}
	defer response.Body.Close()
	return way.relayResponse(ctx, decoder, response, watchdog, func() {
		watchdog.stop()
		response.Body.Close()
		finish()
	})
}
