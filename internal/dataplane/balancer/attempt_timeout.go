package balancer

import "coursepass/internal/clock"

// Phase is what an engine does for a request.
type Phase int

// The stages: an engine reads a prompt for another, or makes an answer.
const (
	PhasePrefill Phase = iota
	PhaseDecode
)

const (
	// minAttemptTimeout and patienceMost bound how much longer than expected an engine may take to
	// show something before a request is better sent elsewhere.
	minAttemptTimeout = 600 * clock.Millisecond
	maxAttemptTimeout = clock.Second
	// initialLatencyEstimate is what lag and spread are taken to be before any was seen.
	initialLatencyEstimate = 60 * clock.Millisecond
)

// latencyEstimator is how much longer than expected engines take at one stage: the mean and the mean
// deviation from it, estimated as TCP does for its retransmission timeout (RFC 6298).
type latencyEstimator struct{ mean, deviation clock.Microseconds }

func (lag *latencyEstimator) observe(sample clock.Microseconds) {
	deviation := sample - lag.mean
	lag.deviation += (max(deviation, -deviation) - lag.deviation) / 4
	lag.mean += deviation / 8
}

func (lag *latencyEstimator) upperBound() clock.Microseconds {
	return min(max(lag.mean+4*lag.deviation, minAttemptTimeout), maxAttemptTimeout)
}

// AttemptTimeout is how long one request at an engine is expected to take to show something, and
// how long it is waited for at most.
type AttemptTimeout struct{ Expected, Limit clock.Microseconds }

// EstimateTimeout is that for a request that goes to an engine now and is counted there already.
func (b *Balancer) EstimateTimeout(now clock.Microseconds, incarnation string, phase Phase) AttemptTimeout {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	tokens, rateShare := engine.queuedPromptTokens, 0.5
	if phase == PhasePrefill {
		tokens, rateShare = tokens+int(engine.otherRoutersLoad(now)*b.meanPromptTokens), 1
	}
	expected := b.prefillTime(tokens, rateShare)
	limit := 2*expected + b.latencyEstimators[phase].upperBound()
	if engine.warmingUp(now) || phase == PhaseDecode && b.full(now, engine) {
		// It is slow, or has a queue of unknown length.
		limit += unresponsiveTimeout
	}
	return AttemptTimeout{Expected: expected, Limit: limit}
}

// ObserveLatency notes how long an engine took to show something.
func (b *Balancer) ObserveLatency(phase Phase, estimate AttemptTimeout, elapsed clock.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.latencyEstimators[phase].observe(elapsed - estimate.Expected)
}
