package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

const (
	// decodeTimePerToken is the time for which generating one token keeps an engine busy.
	decodeTimePerToken = 90 * clock.Microseconds(1)
	// longPromptTokens is the number of tokens above which a prompt that a decoder computes itself counts
	// as prefill work, since no prefiller was available for it.
	longPromptTokens = 1500

	// minRateSampleTokens is the number of uncached tokens above which a prefill is used as a sample of
	// the prefill rate.
	minRateSampleTokens = 2000
	// minPrefillRate and maxPrefillRate bound the prefill rate, in tokens per millisecond.
	minPrefillRate = 5
	maxPrefillRate = 400
	// The smoothing constants are the divisors of exponential moving averages: slowRateSmoothing for a
	// rate below the current estimate, fastRateSmoothing for a rate above it, and meanPromptSmoothing for
	// the number of uncached tokens of a prefill.
	slowRateSmoothing   = 64.0
	fastRateSmoothing   = 8.0
	meanPromptSmoothing = 32
)

// FinishedPrefill describes a prefill call that has ended.
type FinishedPrefill struct {
	Prompt []platformport.PromptChunk
	// Urgency is the urgency of the request.
	Urgency int
	// UncachedTokens is the number of prompt tokens that the engine was expected to compute.
	UncachedTokens int
	// UnsharedOnly reports whether UncachedTokens is at most the number of tokens that the prompt shares
	// with no other request, so that the engine can't have found any of them in its cache.
	UnsharedOnly bool
	// Elapsed is the duration of the call, 0 if it did not succeed.
	Elapsed clock.Microseconds
}

// FinishPrefill records the end of a prefill call. It removes the tokens that AddPromptTokens has added for
// the call.
func (b *Balancer) FinishPrefill(now clock.Microseconds, incarnation string, prefill FinishedPrefill) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.backlog.add(prefill.Urgency, -prefill.UncachedTokens)
	if prefill.Elapsed == 0 {
		return
	}
	engine.recordCached(now, prefill.Prompt)
	tokens := float64(prefill.UncachedTokens)
	b.meanPromptTokens += (tokens - b.meanPromptTokens) / meanPromptSmoothing
	b.prefillBusyTime += b.prefillTime(prefill.UncachedTokens, dedicatedRateShare)
	computeTime := prefill.Elapsed - b.prefillModel.Fixed()
	if prefill.UnsharedOnly && prefill.UncachedTokens > minRateSampleTokens && computeTime > clock.Millisecond {
		b.observePrefillRate(tokens / (float64(computeTime) / float64(clock.Millisecond)))
	}
}

// observePrefillRate updates the prefill rate with one observation, in tokens per millisecond. An observation
// above the current estimate has more weight, since prefills of other routers make an engine look slower than
// it is, never faster. The caller holds the lock.
func (b *Balancer) observePrefillRate(observed float64) {
	smoothing := slowRateSmoothing
	if observed > b.prefillRate {
		smoothing = fastRateSmoothing
	}
	b.prefillRate += (min(max(observed, minPrefillRate), maxPrefillRate) - b.prefillRate) / smoothing
}

// RecordDecodeWork adds the estimated time for which a response keeps its decoder busy: with the prompt tokens
// that the decoder computes itself, and with the tokens that it generates.
func (b *Balancer) RecordDecodeWork(prefillTokens, decodeTokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.decodeBusyTime += decodeTimePerToken * clock.Microseconds(decodeTokens)
	if prefillTokens > longPromptTokens {
		b.prefillBusyTime += b.prefillTime(prefillTokens, dedicatedRateShare)
		return
	}
	b.decodeBusyTime += b.prefillTime(prefillTokens, sharedRateShare)
}

// BusyTime returns the estimated total times for which this router has kept engines busy since it started, with
// prefill and with decode, in microseconds.
func (b *Balancer) BusyTime() (prefill, decode clock.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.prefillBusyTime, b.decodeBusyTime
}
