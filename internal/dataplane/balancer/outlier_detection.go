package balancer

import (
	"math"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// An engine that failed is ejected for a while, and its next response ends that. But engines may
// fail part of their requests and answer the others well: therefore failures also add a penalty to
// the cost of the engine, which no response clears and which decays with time.
const (
	// minEjection and maxEjection bound the ejection of an engine that failed. It doubles with each
	// failure in a row, maxEjectionDoublings times at most.
	minEjection          = 500 * clock.Millisecond
	maxEjection          = 4 * clock.Second
	maxEjectionDoublings = 3
	// peerReportEjection is how long the report of another router ejects an engine, unless the engine
	// has shown something here within recentActivityWindow.
	peerReportEjection   = 700 * clock.Millisecond
	recentActivityWindow = 150 * clock.Millisecond
	// probationFactor is how many times the duration of its ejection an engine is on probation after it,
	// probationInterval the time between two requests that an owner places there meanwhile.
	probationFactor   = 2
	probationInterval = 250 * clock.Millisecond
	// staleEntryEjection is how long an engine is ejected that is not what the list says.
	staleEntryEjection = clock.Second

	// failureHalfLife is in what time a failure comes to count half.
	failureHalfLife = 4 * clock.Second
	// toleratedFailures is how many failures above the median of the engines cost nothing.
	toleratedFailures = 1
	// failurePenalty is what each further one adds to the cost of the engine, maxFailurePenalty the
	// most that all add.
	failurePenalty    = 40 * clock.Millisecond
	maxFailurePenalty = 250 * clock.Millisecond
	// nonRetryableWeight is how many times that counts for a request that may not be retried.
	nonRetryableWeight = 2
)

// addFailure adds a failure to the decaying score. One that this router has seen counts as much as the
// report of another router, of which each sends one per second at most.
func (e *engineState) addFailure(now clock.Microseconds) {
	e.failureScore = e.decayedFailureScore(now) + 1
	e.failureScoreAt = now
}

// decayedFailureScore returns the number of failures that still count.
func (e *engineState) decayedFailureScore(now clock.Microseconds) float64 {
	if e.failureScore == 0 {
		return 0
	}
	return e.failureScore * math.Exp2(-float64(now-e.failureScoreAt)/float64(failureHalfLife))
}

// recordFailure adds a failure and ejects the engine.
func (e *engineState) recordFailure(now clock.Microseconds) {
	e.consecutiveFailures++
	e.addFailure(now)
	backoff := minEjection << min(e.consecutiveFailures-1, maxEjectionDoublings)
	e.suspectUntil = now + min(backoff, maxEjection)
}

// ejected reports whether the engine gets no requests for now if others may be used.
func (e *engineState) ejected(now clock.Microseconds) bool {
	return now < e.suspectUntil || now < e.heldUntil
}

// setFailurePenalties sets the penalty of each engine, relative to the median of their scores: what
// all have in common, as after a failure of this router's own network, counts against none. The
// caller holds the lock.
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

// RecordFailure records that an engine aborted a call, did not answer or could not be reached.
func (b *Balancer) RecordFailure(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).recordFailure(now)
}

// RecordError records that an engine failed a request although it could be reached: it responded
// with a server error, or let the request wait for much longer than others. It is not ejected.
func (b *Balancer) RecordError(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).addFailure(now)
}

// RecordPeerReport records that an engine did not answer another router. It is ejected unless it
// has shown something here just now.
func (b *Balancer) RecordPeerReport(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.addFailure(now)
	if now-engine.lastActivity > recentActivityWindow {
		engine.suspectUntil = max(engine.suspectUntil, now+peerReportEjection)
	}
}

// RecordOverdue records another router's word that an engine has failed a call, or has shown nothing of it
// for longer than expected. The ejection doubles if the engine fails again soon after it. Several routers
// may tell of the same event: while the engine is ejected it changes nothing.
func (b *Balancer) RecordOverdue(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	if now < engine.suspectUntil {
		return
	}
	if now >= engine.probationUntil {
		engine.overdueInARow = 0
	}
	ejection := min(peerReportEjection<<min(engine.overdueInARow, maxEjectionDoublings), maxEjection)
	engine.overdueInARow++
	engine.addFailure(now)
	engine.suspectUntil = now + ejection
	engine.probationUntil = engine.suspectUntil + probationFactor*ejection
}

// limitProbation keeps further requests from an engine that gets one soon after its ejection, until that
// one has shown whether the engine works again.
func (e *engineState) limitProbation(now clock.Microseconds) {
	if now < e.probationUntil {
		e.heldUntil = now + probationInterval
	}
}

// RecordRejection records that an engine rejected a request since it was full.
func (b *Balancer) RecordRejection(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.load = platformport.Load{
		Running:  engine.Slots,
		Waiting:  engine.Slots,
		Slots:    engine.Slots,
		Reported: true,
	}
	engine.loadReportedAt = now
}

// RecordStaleEntry records that an engine has another incarnation or role than the list says.
func (b *Balancer) RecordStaleEntry(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).suspectUntil = now + staleEntryEjection
}

// ActiveSince reports whether an engine has shown something of any request after a time.
func (b *Balancer) ActiveSince(incarnation string, since clock.Microseconds) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.engine(incarnation).lastActivity > since
}

// Unresponsive reports whether an engine owes responses and has shown nothing for too long.
func (b *Balancer) Unresponsive(now clock.Microseconds, incarnation string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.engine(incarnation).unresponsive(now, b.prefillRate)
}
