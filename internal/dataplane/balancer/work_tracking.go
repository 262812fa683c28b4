package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

const (
	// decodeTimePerToken is how long one more token keeps an engine busy.
	decodeTimePerToken = 90 * clock.Microseconds(1)
	// longPromptTokens is from how many tokens on a prompt that a decoder computes by itself counts
	// as prefill work which found no prefiller.
	longPromptTokens = 1500

	// minRateSampleTokens is how long a prompt must be for its prefill to tell the rate.
	minRateSampleTokens = 2000
	// minPrefillRate and maxPrefillRate bound an observed rate, in tokens per millisecond.
	minPrefillRate = 5
	maxPrefillRate = 400
	// The smoothing constants are the divisors of an exponential moving average: for a rate below
	// and above the present estimate, and for the number of tokens of a prefill.
	slowRateSmoothing   = 64.0
	fastRateSmoothing   = 8.0
	meanPromptSmoothing = 32
)

// FinishedPrefill describes a prefill call that has ended.
type FinishedPrefill struct {
	Prompt []platformport.PromptChunk
	// Urgency is that of the request.
	Urgency int
	// UncachedTokens is how many tokens of the prompt the engine was expected to compute.
	UncachedTokens int
	// UnsharedOnly says that these are no more than the request's own tokens, so that the engine
	// can't have found any of them in its cache.
	UnsharedOnly bool
	// Elapsed is how long the call took, 0 if it did not succeed.
	Elapsed clock.Microseconds
}

// FinishPrefill records the end of a prefill call. It takes back the tokens that AddPromptTokens
// has added for it.
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

// observePrefillRate updates the prefill rate by one observation, in tokens per millisecond.
// Prefills of other routers make an engine look slower than it is, never faster, so that a higher
// rate counts for more. The caller holds the lock.
func (b *Balancer) observePrefillRate(observed float64) {
	smoothing := slowRateSmoothing
	if observed > b.prefillRate {
		smoothing = fastRateSmoothing
	}
	b.prefillRate += (min(max(observed, minPrefillRate), maxPrefillRate) - b.prefillRate) / smoothing
}

// RecordDecodeWork adds what a response keeps its engine busy with: the prompt tokens that it
// computes by itself, and the tokens that it generates.
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

// BusyTime returns how long this router has kept engines busy since it started, in microseconds of
// prefill and of decoding.
func (b *Balancer) BusyTime() (prefill, decode clock.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.prefillBusyTime, b.decodeBusyTime
}
