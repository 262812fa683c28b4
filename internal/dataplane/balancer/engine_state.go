package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

const (
	// loadReportTTL is the time after which a load report is ignored. The weight of the report decreases
	// linearly until then.
	loadReportTTL = 600 * clock.Millisecond
	// laggingTimeout is the time without activity after which an engine with pending responses counts as
	// lagging. Most responses show activity sooner.
	laggingTimeout = 350 * clock.Millisecond
	// unresponsiveTimeout is the time without activity after which an engine with pending responses counts
	// as unresponsive. Healthy engines show activity sooner.
	unresponsiveTimeout = 700 * clock.Millisecond
	// backlogMargin scales the estimated duration of the prefill backlog. The product is added to both
	// timeouts.
	backlogMargin = 2
)

// engineState holds what a balancer knows of one incarnation of an engine.
type engineState struct {
	platformport.Engine
	// backlog holds the prompt tokens that the engine has yet to compute for this router.
	backlog promptBacklog
	// running is the number of responses that the engine generates for this router.
	running int
	// runningTokens is the number of unshared prompt tokens of these responses.
	runningTokens int
	// expectedRuns holds the requests that a placement owner has placed on the engine, until their expected ends,
	// and expectedTokens the number of their unshared prompt tokens.
	expectedRuns   []expectedRun
	expectedTokens int
	// load is the last load that the engine reported.
	load           platformport.Load
	loadReportedAt clock.Microseconds
	// cachedChunks holds the times at which prompt chunks were last sent to the engine, by name.
	cachedChunks map[string]clock.Microseconds
	// ejectedUntil is the end of the ejection of the engine.
	ejectedUntil        clock.Microseconds
	consecutiveFailures int
	// consecutiveOverdue is the number of consecutive ejections by RecordOverdue, each of which began during
	// the probation after the one before. probationUntil is the end of the current probation.
	consecutiveOverdue int
	probationUntil     clock.Microseconds
	// nextProbeAt is the time before which an engine on probation gets no further request.
	nextProbeAt clock.Microseconds
	// failureScore is the decaying number of recent failures, as of failureScoreAt.
	failureScore   float64
	failureScoreAt clock.Microseconds
	// penalty is the additional cost of the engine for recent failures. Each selection computes it anew
	// before it compares costs.
	penalty clock.Microseconds
	// recentSends holds the times of the requests that were sent while the engine was warming up, oldest
	// first.
	recentSends []clock.Microseconds
	// warmupUntil is the time until which the engine is treated as warming up, regardless of its
	// WarmupRemaining.
	warmupUntil clock.Microseconds
	// pendingResponses is the number of admitted calls that have not ended.
	pendingResponses int
	// lastActivity is the time of the last response data, or of a later call that was admitted while no
	// other call was pending.
	lastActivity clock.Microseconds
}

// newEngineState returns the initial state of an engine.
func newEngineState() *engineState {
	return &engineState{cachedChunks: map[string]clock.Microseconds{}}
}

// rateShare returns the share of the observed prefill rate that the engine reaches.
func (e *engineState) rateShare() float64 {
	if e.Role == pairing.RolePrefill {
		return dedicatedRateShare
	}
	return sharedRateShare
}

// otherRoutersLoad estimates the number of requests of other routers on the engine from its last load
// report.
func (e *engineState) otherRoutersLoad(now clock.Microseconds) float64 {
	age := now - e.loadReportedAt
	if !e.load.Reported || age >= loadReportTTL {
		return 0
	}
	weight := 1 - float64(age)/float64(loadReportTTL)
	return weight * float64(max(e.load.Running+e.load.Waiting-e.running, 0))
}

// recordResponse records the head of a response, which ends the ejection of the engine, and the load
// report that it carried.
func (e *engineState) recordResponse(now clock.Microseconds, load platformport.Load) {
	e.consecutiveFailures = 0
	e.ejectedUntil = 0
	e.lastActivity = now
	if load.Reported {
		e.load, e.loadReportedAt = load, now
	}
}

// unresponsive reports whether the engine has pending responses and has shown no activity for longer than a
// healthy engine takes.
func (e *engineState) unresponsive(now clock.Microseconds, prefillRate float64) bool {
	return e.idleBeyond(now, prefillRate, unresponsiveTimeout)
}

// lagging reports whether the engine has pending responses and has shown no activity for longer than
// healthy engines usually take, so that new requests are better sent to other engines.
func (e *engineState) lagging(now clock.Microseconds, prefillRate float64) bool {
	return e.idleBeyond(now, prefillRate, laggingTimeout)
}

// idleBeyond reports whether the engine has pending responses and has shown no activity for longer than the
// timeout plus backlogMargin times the estimated duration of its prefill backlog.
func (e *engineState) idleBeyond(now clock.Microseconds, prefillRate float64, timeout clock.Microseconds) bool {
	if e.pendingResponses == 0 {
		return false
	}
	return now-e.lastActivity > timeout+backlogMargin*prefillDuration(e.backlog.total(), prefillRate)
}
