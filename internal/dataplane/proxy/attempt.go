package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
)

// attemptOutcome is the outcome of one attempt. It determines how the request continues.
type attemptOutcome int

const (
	// outcomeCompleted: the client received the complete response.
	outcomeCompleted attemptOutcome = iota
	// outcomeRetryElsewhere: the request has not run and may be sent to another engine, which costs
	// a retry token.
	outcomeRetryElsewhere
	// outcomeReselect: no call was sent, or only a first prefill call, which does not count as an
	// attempt. Engines are selected again, even if the request has no attempts left.
	outcomeReselect
	// outcomeOtherDecoder: the generate call was not sent after the prompt was prefilled. The attempt goes on
	// at another decode engine, which fetches the KV cache.
	outcomeOtherDecoder
	// outcomeMayHaveRun: the request may have run, and the client has not received a response head.
	outcomeMayHaveRun
	// outcomeInterrupted: the client received a response head, and the response ended early.
	outcomeInterrupted
	// outcomeEnded: the request cannot continue. The client disconnected, the deadline passed, or an
	// engine truncated a response that is not a stream.
	outcomeEnded
	// outcomeNoRetryToken: the retry budget has no token for another arrival at an engine.
	outcomeNoRetryToken
)

// attempt sends the request to the selected engines: first a prefill call if the selection is split,
// then the generate call.
func (f *forwardedRequest) attempt(ctx context.Context, selection balancer.Selection) attemptOutcome {
	f.tryTransition(lifecycle.StateMatched)
	f.timing.selection = selection
	if !f.acquireArrivalTokens() {
		f.resetForRetry(f.headWritten)
		return outcomeNoRetryToken
	}
	attempt := f.newAttempt(selection.Decoder)
	if selection.Split {
		kvHandle, failure, ok := f.prefillForDecoder(ctx, selection)
		if !ok {
			f.resetForRetry(f.headWritten)
			return failure
		}
		attempt.KVSource = selection.Prefiller.Address + "/" + kvHandle.Name
		attempt.ModelVersion = kvHandle.ModelVersion
	}
	for {
		outcome := f.attemptDecode(ctx, selection, attempt)
		if outcome != outcomeOtherDecoder {
			return outcome
		}
		f.proxy.DecodersReplaced.Add(1)
	}
}

// attemptDecode sends the generate call to the selected decode engine or, if that engine may not get it
// any more, to another one that can fetch the KV cache.
func (f *forwardedRequest) attemptDecode(
	ctx context.Context, selection balancer.Selection, attempt platformport.Attempt,
) attemptOutcome {
	if selection.Split {
		f.tryTransition(lifecycle.StateTransferred)
	}
	decoder, ok := f.admitDecoder(ctx, selection)
	if !ok {
		return f.endWithoutDecoder(ctx, selection, attempt)
	}
	selection.Decoder = decoder
	attempt.Address, attempt.Incarnation = decoder.Address, decoder.Incarnation
	attempt.Withdrawn = func() bool { return !f.maySendTo(decoder, balancer.PhaseDecode) }
	if selection.Split && !f.acquireArrivalTokens() {
		f.releaseKV(ctx, selection.Prefiller.Address, attempt.KVSource)
		f.balancer.Release(attempt.Incarnation)
		f.resetForRetry(f.headWritten)
		return outcomeNoRetryToken
	}
	f.tryTransition(lifecycle.StateDecoding)
	return f.generate(ctx, selection, attempt)
}

// endWithoutDecoder ends an attempt for which there is no decode engine. It returns the outcome of the
// attempt.
func (f *forwardedRequest) endWithoutDecoder(
	ctx context.Context, selection balancer.Selection, attempt platformport.Attempt,
) attemptOutcome {
	f.resetForRetry(f.headWritten)
	if !selection.Split {
		return outcomeReselect
	}
	f.releaseKV(ctx, selection.Prefiller.Address, attempt.KVSource)
	return outcomeRetryElsewhere
}

// maySendTo reports whether an engine may still be given a call of a phase. The list of engines, the
// evacuated zones and the regions under maintenance may have changed since the engine was selected.
func (f *forwardedRequest) maySendTo(engine platformport.Engine, phase balancer.Phase) bool {
	region := f.proxy.Regions.RegionOf(engine.Zone)
	return f.balancer.Accepts(engine.Incarnation, phase) && !f.proxy.maintenance.HasStarted(f.now(), region)
}

// admitDecoder admits the request at the selected decode engine. If that engine no longer accepts the
// request and the prompt is already prefilled, it admits the request at another decode engine that
// can fetch the KV cache. It reports false if there is no such engine.
func (f *forwardedRequest) admitDecoder(
	ctx context.Context, selection balancer.Selection,
) (platformport.Engine, bool) {
	decoder := selection.Decoder
	if !f.maySendTo(decoder, balancer.PhaseDecode) {
		f.excluded[decoder.Incarnation] = true
	}
	if !f.excluded[decoder.Incarnation] && f.balancer.Admit(f.now(), decoder.Incarnation, balancer.PhaseDecode) {
		return decoder, true
	}
	if !selection.Split {
		return platformport.Engine{}, false
	}
	requirements := f.requirements()
	alternative, ok := f.placeDecoder(ctx, requirements, selection.Prefiller)
	if !ok {
		alternative, ok = f.balancer.SelectDecoder(f.now(), requirements, selection.Prefiller)
	}
	if !ok || !f.balancer.Admit(f.now(), alternative.Incarnation, balancer.PhaseDecode) {
		return platformport.Engine{}, false
	}
	return alternative, true
}

// failedCall describes a call to an engine that ended without a response.
type failedCall struct {
	incarnation string
	outcome     platformport.Outcome
	// busy is set if the engine rejected the call for lack of capacity.
	busy bool
	// timedOut is set if the context of the call had ended when the call returned.
	timedOut bool
}

// recordFailedCall reports a failed call to the load balancer, unless the whole request has ended.
func (f *forwardedRequest) recordFailedCall(ctx context.Context, now clock.Microseconds, call failedCall) {
	switch {
	case ctx.Err() != nil, call.outcome == platformport.OutcomeWithdrawn:
	case call.outcome == platformport.OutcomeMisdirected:
		f.balancer.RecordStaleEntry(now, call.incarnation)
		f.proxy.reportEngine(ctx, f.service, call.incarnation)
	case call.outcome == platformport.OutcomeNotStarted && call.busy:
		f.balancer.RecordRejection(now, call.incarnation)
	default:
		f.reportEngineFailure(ctx, now, call.incarnation, call.timedOut)
	}
}

// reportEngineFailure records that an engine aborted a call, did not answer or was unreachable. It
// also notifies the engine's placement owner, and calls OnSuspect unless the call timed out: a long
// queue at the engine can cause a timeout too.
func (f *forwardedRequest) reportEngineFailure(
	ctx context.Context, now clock.Microseconds, incarnation string, timedOut bool,
) {
	f.proxy.EngineFailures.Add(1)
	f.balancer.RecordFailure(now, incarnation)
	f.proxy.reportEngine(ctx, f.service, incarnation)
	if f.proxy.OnSuspect != nil && !timedOut {
		f.proxy.OnSuspect(f.service, incarnation)
	}
}
