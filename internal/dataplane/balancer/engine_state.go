package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

const (
	// loadReportTTL is how long the load that an engine reported counts, less and less.
	loadReportTTL = 600 * clock.Millisecond
	// laggingTimeout is longer than most responses take to show something.
	laggingTimeout = 350 * clock.Millisecond
	// unresponsiveTimeout is longer than a healthy engine shows nothing of a response that it owes.
	unresponsiveTimeout = 700 * clock.Millisecond
	// backlogMargin is how many times its estimated duration the prefill backlog is allowed.
	backlogMargin = 2
)

// engineState is what a router knows of one incarnation of an engine.
type engineState struct {
	platformport.Engine
	// backlog is how many prompt tokens the engine has yet to compute, running how many responses it
	// generates, both for this router.
	backlog promptBacklog
	running int
	// expectedEnds is when the runs that an owner has placed are expected to end.
	expectedEnds []clock.Microseconds
	// load is what the engine last reported of itself.
	load           platformport.Load
	loadReportedAt clock.Microseconds
	// cachedChunks is when a prompt chunk was last sent to the engine, by name.
	cachedChunks map[string]clock.Microseconds
	// suspectUntil is until when the engine is ejected.
	suspectUntil        clock.Microseconds
	consecutiveFailures int
	// overdueInARow counts the ejections by RecordOverdue that followed soon after one another, and
	// probationUntil is until when another one follows soon.
	overdueInARow  int
	probationUntil clock.Microseconds
	// heldUntil is until when an engine on probation gets no further request.
	heldUntil clock.Microseconds
	// failureScore is the decaying number of recent failures, as of failureScoreAt.
	failureScore   float64
	failureScoreAt clock.Microseconds
	// penalty is what the failures add to the cost of the engine. Each selection sets it first.
	penalty clock.Microseconds
	// recentSends is when requests were sent while the engine was warming up, oldest first.
	recentSends []clock.Microseconds
	// warmupUntil is until when the engine is treated as warming up, whatever the list says.
	warmupUntil clock.Microseconds
	// pendingResponses is how many calls the engine has not ended, lastActivity when it last showed
	// anything of one, or got one while it had none.
	pendingResponses int
	lastActivity     clock.Microseconds
}

// newEngineState returns the state of an engine of which nothing is known.
func newEngineState() *engineState {
	return &engineState{cachedChunks: map[string]clock.Microseconds{}}
}

// rateShare returns the part of the prefill rate that the engine reaches.
func (e *engineState) rateShare() float64 {
	if e.Role == pairing.RolePrefill {
		return dedicatedRateShare
	}
	return sharedRateShare
}

// otherRoutersLoad estimates how many requests of other routers the engine has.
func (e *engineState) otherRoutersLoad(now clock.Microseconds) float64 {
	age := now - e.loadReportedAt
	if !e.load.Reported || age >= loadReportTTL {
		return 0
	}
	weight := 1 - float64(age)/float64(loadReportTTL)
	return weight * float64(max(e.load.Running+e.load.Waiting-e.running, 0))
}

// recordResponse records the head of a response: the engine is healthy.
func (e *engineState) recordResponse(now clock.Microseconds, load platformport.Load) {
	e.consecutiveFailures = 0
	e.suspectUntil = 0
	e.lastActivity = now
	if load.Reported {
		e.load, e.loadReportedAt = load, now
	}
}

// unresponsive reports whether the engine owes responses and has shown nothing for longer than any
// response takes.
func (e *engineState) unresponsive(now clock.Microseconds, prefillRate float64) bool {
	return e.idleBeyond(now, prefillRate, unresponsiveTimeout)
}

// lagging reports whether the engine owes responses and has shown nothing for longer than healthy
// engines usually do, so that new requests are better sent elsewhere.
func (e *engineState) lagging(now clock.Microseconds, prefillRate float64) bool {
	return e.idleBeyond(now, prefillRate, laggingTimeout)
}

// idleBeyond reports whether the engine owes responses and has shown nothing for the timeout and the
// time that its prefill backlog takes.
func (e *engineState) idleBeyond(now clock.Microseconds, prefillRate float64, timeout clock.Microseconds) bool {
	if e.pendingResponses == 0 {
		return false
	}
	return now-e.lastActivity > timeout+backlogMargin*prefillDuration(e.backlog.total(), prefillRate)
}
