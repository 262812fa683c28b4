package balancer

import "coursepass/internal/clock"

// Phase is the kind of work that an engine does in one call.
type Phase int

// The phases. In PhasePrefill, an engine computes the KV cache of a prompt for another engine. In PhaseDecode,
// it generates a response.
const (
	PhasePrefill Phase = iota
	PhaseDecode

	phaseCount = 2
)

const (
	// minAttemptTimeout and maxAttemptTimeout bound how much longer than expected an engine may take
	// until its first response data. After that, the request is better sent to another engine.
	minAttemptTimeout = 600 * clock.Millisecond
	maxAttemptTimeout = clock.Second
	// initialLatencyEstimate is the initial mean and the initial deviation of a latencyEstimator.
	initialLatencyEstimate = 60 * clock.Millisecond
	// expectedTimeFactor scales the expected duration of a call in its timeout. The upper bound of the
	// latency is added to the product.
	expectedTimeFactor = 2
)

// The gains of the estimators and the weight of the deviation follow RFC 6298, section 2: a gain of 1/4 for the
// deviation, a gain of 1/8 for the mean, and a weight of 4.
const (
	deviationGainDivisor = 4
	meanGainDivisor      = 8
	deviationWeight      = 4
)

// latencyEstimator estimates how much longer than expected engines take in one phase. It keeps the mean and
// the mean deviation from it, as TCP does for its retransmission timeout (RFC 6298).
type latencyEstimator struct {
	mean      clock.Microseconds
	deviation clock.Microseconds
}

// observe updates the estimate with one sample.
func (l *latencyEstimator) observe(sample clock.Microseconds) {
	deviation := sample - l.mean
	l.deviation += (max(deviation, -deviation) - l.deviation) / deviationGainDivisor
	l.mean += deviation / meanGainDivisor
}

// upperBound returns the latency beyond which an engine is assumed not to respond.
func (l *latencyEstimator) upperBound() clock.Microseconds {
	return min(max(l.mean+deviationWeight*l.deviation, minAttemptTimeout), maxAttemptTimeout)
}

// AttemptTimeout holds the time limits of one call to an engine, in microseconds.
type AttemptTimeout struct {
	// Expected is the expected time until the first response data.
	Expected clock.Microseconds
	// Limit is the maximum time to wait for the first response data.
	Limit clock.Microseconds
}

// AtLeast returns the timeout extended to a longer expected time. A shorter expected time changes nothing.
func (a AttemptTimeout) AtLeast(expected clock.Microseconds) AttemptTimeout {
	if longer := expected - a.Expected; longer > 0 {
		a.Expected = expected
		a.Limit += expectedTimeFactor * longer
	}
	return a
}

// EstimateTimeout returns the timeout of a call that is sent to an engine now. The caller must have added
// the prompt tokens of the call with AddPromptTokens.
func (b *Balancer) EstimateTimeout(now clock.Microseconds, incarnation string, phase Phase) AttemptTimeout {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	tokens, rateShare := engine.backlog.total(), sharedRateShare
	if phase == PhasePrefill {
		tokens += int(engine.otherRoutersLoad(now) * b.meanPromptTokens)
		rateShare = dedicatedRateShare
	}
	expected := b.prefillTime(tokens, rateShare)
	limit := expectedTimeFactor*expected + b.latencyEstimators[phase].upperBound()
	if engine.warmingUp(now) || phase == PhaseDecode && b.full(now, engine) {
		// The engine is slow while it warms up, and a full decoder has a queue of unknown length.
		limit += unresponsiveTimeout
	}
	return AttemptTimeout{Expected: expected, Limit: limit}
}

// ObserveLatency records the time from the start of a call to its first response data.
func (b *Balancer) ObserveLatency(phase Phase, estimate AttemptTimeout, elapsed clock.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.latencyEstimators[phase].observe(elapsed - estimate.Expected)
}
