package proxy

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
)

// attemptOutcome says how one attempt ended, and thereby what may follow.
type attemptOutcome int

const (
	// outcomeCompleted: the client has the complete response.
	outcomeCompleted attemptOutcome = iota
	// outcomeRetryElsewhere: nothing ran, another engine may be asked.
	outcomeRetryElsewhere
	// outcomeReselect: nothing was sent, or nothing that counts as an attempt; engines are
	// selected once more, without a retry token.
	outcomeReselect
	// outcomeMayHaveRun: the request may have run, and the client has no response head yet.
	outcomeMayHaveRun
	// outcomeInterrupted: the client has a response head, and the response ended early.
	outcomeInterrupted
	// outcomeEnded: the client left or the deadline passed.
	outcomeEnded
	// outcomeNoRetryToken: the retry budget has no token for one more arrival at an engine.
	outcomeNoRetryToken
)

// attempt sends the request once to the selected engines.
func (f *forwardedRequest) attempt(ctx context.Context, selection balancer.Selection) attemptOutcome {
	f.mustTransition(lifecycle.StateMatched)
	f.timing.selection = selection
	if !f.payForArrival() {
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
		f.mustTransition(lifecycle.StateTransferred)
		attempt.KVSource = selection.Prefiller.Address + "/" + kvHandle.Name
		attempt.ModelVersion = kvHandle.ModelVersion
	}
	decoder, ok := f.admitDecoder(selection)
	if !ok && selection.Split {
		f.releaseKV(ctx, selection.Prefiller.Address, attempt.KVSource)
		f.resetForRetry(f.headWritten)
		return outcomeRetryElsewhere
	}
	if !ok {
		f.resetForRetry(f.headWritten)
		return outcomeReselect
	}
	selection.Decoder = decoder
	attempt.Address, attempt.Incarnation = decoder.Address, decoder.Incarnation
	if selection.Split && !f.payForArrival() {
		f.releaseKV(ctx, selection.Prefiller.Address, attempt.KVSource)
		f.balancer.Release(attempt.Incarnation)
		f.resetForRetry(f.headWritten)
		return outcomeNoRetryToken
	}
	f.mustTransition(lifecycle.StateDecoding)
	return f.generate(ctx, selection, attempt)
}

// admitDecoder admits the request at the selected decoder. If that is not possible any more and the
// prompt is prefilled, it admits it at another decoder that may fetch the KV cache. It reports
// false if there is none.
func (f *forwardedRequest) admitDecoder(selection balancer.Selection) (platformport.Engine, bool) {
	// The region may have been closed during the prefill.
	region := f.proxy.Regions.RegionOf(selection.Decoder.Zone)
	regionClosed := f.proxy.maintenance.HasStarted(f.now(), region)
	if !regionClosed && f.balancer.Admit(f.now(), selection.Decoder.Incarnation) {
		return selection.Decoder, true
	}
	if !selection.Split {
		return platformport.Engine{}, false
	}
	alternative, ok := f.balancer.SelectDecoder(f.now(), f.requirements(), selection.Prefiller.Incarnation)
	if !ok || !f.balancer.Admit(f.now(), alternative.Incarnation) {
		return platformport.Engine{}, false
	}
	return alternative, true
}

// failedCall is a call to an engine that got no response.
type failedCall struct {
	incarnation string
	outcome     platformport.Outcome
	// busy says that an engine which did not start the call had no capacity.
	busy bool
	// timedOut says that the call's own context had ended when the call returned.
	timedOut bool
}

// recordFailedCall reports a failed call to the load balancer, unless the request itself has ended.
func (f *forwardedRequest) recordFailedCall(ctx context.Context, now clock.Microseconds, call failedCall) {
	switch {
	case ctx.Err() != nil:
	case call.outcome == platformport.OutcomeMisdirected:
		f.balancer.RecordStaleEntry(now, call.incarnation)
		f.proxy.reportEngine(ctx, f.service, call.incarnation)
	case call.outcome == platformport.OutcomeNotStarted && call.busy:
		f.balancer.RecordRejection(now, call.incarnation)
	default:
		f.reportEngineFailure(ctx, now, call.incarnation, call.timedOut)
	}
}

// reportEngineFailure records that an engine aborted a call, did not answer or could not be
// reached. Other routers hear of it too, except for a timeout: that may be no more than a long
// queue.
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
