package balancer

import "coursepass/internal/clock"

// Phase is what an engine does in one call.
type Phase int

// The phases: an engine computes the KV cache of a prompt for another one, or generates a response.
const (
	PhasePrefill Phase = iota
	PhaseDecode

	phaseCount = 2
)

const (
	// minAttemptTimeout and maxAttemptTimeout bound how much longer than expected an engine may take
	// to show something before a request is better sent elsewhere.
	minAttemptTimeout = 600 * clock.Millisecond
	maxAttemptTimeout = clock.Second
	// initialLatencyEstimate is the mean and the deviation before the first observation.
	initialLatencyEstimate = 60 * clock.Millisecond
	// expectedTimeFactor is how many times the expected duration an attempt is allowed, apart from
	// the latency.
	expectedTimeFactor = 2
)

// The gains and the weight of the deviation are those of RFC 6298, section 2: 1/4, 1/8 and 4.
const (
	deviationGainDivisor = 4
	meanGainDivisor      = 8
	deviationWeight      = 4
)

// latencyEstimator estimates how much longer than expected engines take in one phase: the mean and
// the mean deviation from it, as TCP does for its retransmission timeout (RFC 6298).
type latencyEstimator struct {
	mean      clock.Microseconds
	deviation clock.Microseconds
}

// observe updates the estimate by one sample.
func (l *latencyEstimator) observe(sample clock.Microseconds) {
	deviation := sample - l.mean
	l.deviation += (max(deviation, -deviation) - l.deviation) / deviationGainDivisor
	l.mean += deviation / meanGainDivisor
}

// upperBound returns the latency after which an engine is assumed not to respond.
func (l *latencyEstimator) upperBound() clock.Microseconds {
	return min(max(l.mean+deviationWeight*l.deviation, minAttemptTimeout), maxAttemptTimeout)
}

// AttemptTimeout says how long one call is expected to take until the engine shows something, and
// how long to wait for that at most, both in microseconds.
type AttemptTimeout struct {
	Expected clock.Microseconds
	Limit    clock.Microseconds
}

// AtLeast returns the timeout of a call that is expected to take that long, if that is longer.
func (a AttemptTimeout) AtLeast(expected clock.Microseconds) AttemptTimeout {
	if longer := expected - a.Expected; longer > 0 {
		a.Expected = expected
		a.Limit += expectedTimeFactor * longer
	}
	return a
}

// EstimateTimeout returns the timeout of a call that is sent to an engine now. The tokens of its
// prompt must have been added with AddPromptTokens before.
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
		// It is slow, or has a queue of unknown length.
		limit += unresponsiveTimeout
	}
	return AttemptTimeout{Expected: expected, Limit: limit}
}

// ObserveLatency records how long a call took until the engine showed something.
func (b *Balancer) ObserveLatency(phase Phase, estimate AttemptTimeout, elapsed clock.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.latencyEstimators[phase].observe(elapsed - estimate.Expected)
}
