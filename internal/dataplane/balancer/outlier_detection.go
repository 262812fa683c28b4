package balancer

import (
	"math"
	"slices"

	"coursepass/internal/clock"
)

// Engines may fail part of their requests while they answer the others well, so that an
// answer does not clear them: their faults count on, fading.
const (
	// failureHalfLife is in what time a fault comes to count half.
	failureHalfLife = 4 * clock.Second
	// peerReportWeight is what another router's word counts; each passes it on once a second at most.
	peerReportWeight = 1
	// toleratedFailures is how many faults beyond those of the other engines are passed over.
	toleratedFailures = 1
	// failurePenalty is what each further one adds to the cost of a way, faultMost the most of that.
	failurePenalty    = 40 * clock.Millisecond
	maxFailurePenalty = 250 * clock.Millisecond
	// nonRetryableWeight is how many times that counts for a request that is lost if its engine fails.
	nonRetryableWeight = 2
)

// addFailure notes that an engine failed a request.
func (e *engineState) addFailure(now clock.Microseconds, weight float64) {
	e.failureScore, e.failureScoreAt = e.decayedFailureScore(now)+weight, now
}

// decayedFailureScore is how many faults count at a time.
func (e *engineState) decayedFailureScore(now clock.Microseconds) float64 {
	if e.failureScore == 0 {
		return 0
	}
	return e.failureScore * math.Exp2(-float64(now-e.failureScoreAt)/float64(failureHalfLife))
}

// setFailurePenalties sets what the faults of engines add to their cost. What all have in common, as after
// the loss of this router's own circuits, counts against none.
func (b *Balancer) setFailurePenalties(now clock.Microseconds, engines []*engineState) {
	scores := make([]float64, len(engines))
	for index, engine := range engines {
		scores[index] = engine.decayedFailureScore(now)
	}
	sorted := slices.Sorted(slices.Values(scores))
	for index, engine := range engines {
		excess := scores[index] - sorted[(len(sorted)-1)/2] - toleratedFailures
		engine.penalty = min(clock.Microseconds(max(excess, 0)*float64(failurePenalty)), maxFailurePenalty)
	}
}

// ActiveSince tells whether an engine has shown something of any request since a time.
func (b *Balancer) ActiveSince(incarnation string, since clock.Microseconds) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.engine(incarnation).lastActivity > since
}

// RecordError notes that an engine failed a request although it was there: it gave an error of its
// own, or let the request wait for much longer than others.
func (b *Balancer) RecordError(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).addFailure(now, 1)
}
