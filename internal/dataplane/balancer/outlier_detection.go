package balancer

import (
	"math"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// An engine that failed is ejected for a limited time, and its next response ends the ejection. But an engine
// may fail part of its requests and answer the others well. Therefore failures also add a penalty to the cost
// of the engine, which responses don't clear and which decays with time.
const (
	// minEjection and maxEjection bound the duration of the ejection of an engine that failed. The duration
	// doubles with each consecutive failure, maxEjectionDoublings times at most.
	minEjection          = 500 * clock.Millisecond
	maxEjection          = 4 * clock.Second
	maxEjectionDoublings = 3
	// peerReportEjection is the duration of an ejection after a report of another router. An engine that
	// has shown activity to this router within recentActivityWindow is not ejected by a peer report.
	peerReportEjection   = 700 * clock.Millisecond
	recentActivityWindow = 150 * clock.Millisecond
	// probationFactor is the duration of the probation after an ejection as a multiple of the duration of
	// the ejection. probeInterval is the minimum time between two requests that a placement owner
	// places on the engine during its probation.
	probationFactor = 2
	probeInterval   = 250 * clock.Millisecond
	// staleEntryEjection is the duration of the ejection of an engine that differs from its entry in the
	// list.
	staleEntryEjection = clock.Second

	// failureHalfLife is the time in which the weight of a failure decays to half.
	failureHalfLife = 4 * clock.Second
	// toleratedFailures is the number of failures above the median of the engines that cause no penalty.
	toleratedFailures = 1
	// failurePenalty is the additional cost for each failure beyond toleratedFailures. maxFailurePenalty is
	// the maximum of the sum.
	failurePenalty    = 40 * clock.Millisecond
	maxFailurePenalty = 250 * clock.Millisecond
	// nonRetryableWeight scales the penalty of a decoder for a request that may not be retried.
	nonRetryableWeight = 2
)

// addFailure adds a failure to the decaying score. A failure that this router has seen counts as much as a
// report of another router. Each router sends at most one report per second.
func (e *engineState) addFailure(now clock.Microseconds) {
	e.failureScore = e.decayedFailureScore(now) + 1
	e.failureScoreAt = now
}

// decayedFailureScore returns the number of recent failures, each weighted by its decay since then.
func (e *engineState) decayedFailureScore(now clock.Microseconds) float64 {
	if e.failureScore == 0 {
		return 0
	}
	return e.failureScore * math.Exp2(-float64(now-e.failureScoreAt)/float64(failureHalfLife))
}

// recordFailure adds a failure to the score and ejects the engine.
func (e *engineState) recordFailure(now clock.Microseconds) {
	e.consecutiveFailures++
	e.addFailure(now)
	backoff := minEjection << min(e.consecutiveFailures-1, maxEjectionDoublings)
	e.ejectedUntil = now + min(backoff, maxEjection)
}

// ejected reports whether the engine currently gets no requests as long as other engines may be used. This
// includes an engine on probation between two requests.
func (e *engineState) ejected(now clock.Microseconds) bool {
	return now < e.ejectedUntil || now < e.nextProbeAt
}

// setFailurePenalties sets the penalty of each engine from the difference between its failure score and the
// median score of the engines. Failures that all engines have in common, as after a failure of this router's
// own network, cause no penalty. The caller holds the lock.
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

// RecordError records that an engine failed a request although it could be reached: it responded with a
// server error, or delayed the request for much longer than other engines. The engine is not ejected.
func (b *Balancer) RecordError(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).addFailure(now)
}

// RecordPeerReport records that an engine did not answer another router. The engine is ejected unless it
// has shown activity to this router within recentActivityWindow.
func (b *Balancer) RecordPeerReport(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.addFailure(now)
	if now-engine.lastActivity > recentActivityWindow {
		engine.ejectedUntil = max(engine.ejectedUntil, now+peerReportEjection)
	}
}

// RecordOverdue records another router's report that an engine has failed a call, or has sent no response
// data for longer than expected. The engine is ejected, for twice as long as before if it is still on
// probation, up to maxEjection. Reports on an engine that is already ejected change nothing, since several
// routers may report the same event.
func (b *Balancer) RecordOverdue(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	if now < engine.ejectedUntil {
		return
	}
	if now >= engine.probationUntil {
		engine.consecutiveOverdue = 0
	}
	ejection := min(peerReportEjection<<min(engine.consecutiveOverdue, maxEjectionDoublings), maxEjection)
	engine.consecutiveOverdue++
	engine.addFailure(now)
	engine.ejectedUntil = now + ejection
	engine.probationUntil = engine.ejectedUntil + probationFactor*ejection
}

// delayNextProbe holds back further requests for probeInterval if the engine gets a request during its
// probation. The outcome of this request shows whether the engine works again.
func (e *engineState) delayNextProbe(now clock.Microseconds) {
	if now < e.probationUntil {
		e.nextProbeAt = now + probeInterval
	}
}

// RecordRejection records that an engine rejected a request because it was full. The engine counts as fully
// loaded until the record expires after loadReportTTL.
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

// RecordStaleEntry records that the incarnation or role of an engine differs from its entry in the list. The
// engine is ejected.
func (b *Balancer) RecordStaleEntry(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).ejectedUntil = now + staleEntryEjection
}

// ActiveSince reports whether an engine has shown activity for any request after the given time.
func (b *Balancer) ActiveSince(incarnation string, since clock.Microseconds) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.engine(incarnation).lastActivity > since
}

// Unresponsive reports whether an engine has pending responses and has shown no activity for longer than a
// healthy engine takes.
func (b *Balancer) Unresponsive(now clock.Microseconds, incarnation string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.engine(incarnation).unresponsive(now, b.prefillRate)
}
