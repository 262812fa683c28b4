// Package balancer is a router's picture of a service's engines: what they hold, how loaded
// they are, and which of them a request is best sent to. It is pure: the time is told.
package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

const (
	// cacheRetention is how long a piece that was sent to an engine is taken to be held there.
	cacheRetention = 20 * clock.Second
	// loadReportTTL is how long what an engine told of its load counts, fading.
	loadReportTTL = 600 * clock.Millisecond
	// minEjection and doubtMost bound the pause of an engine that failed.
	minEjection = 500 * clock.Millisecond
	maxEjection = 4 * clock.Second
	// peerReportEjection is how long another router's word leaves an engine out, unless it has shown
	// something here within doubtFresh.
	peerReportEjection   = 700 * clock.Millisecond
	recentActivityWindow = 150 * clock.Millisecond
	maxCachedChunks      = 4096
)

// engineState is one engine's life as this router knows it.
type engineState struct {
	platformport.Engine
	// queuedPromptTokens is the number of prompt tokens, running the number of answers under way
	// here for this router.
	queuedPromptTokens  int
	running             int
	load                platformport.Load
	loadReportedAt      clock.Microseconds
	cachedChunks        map[string]clock.Microseconds
	suspectUntil        clock.Microseconds
	consecutiveFailures int
	// failureScore are how many requests it failed lately, as of faultsAt; penalty is what they add
	// to its cost in the choice that is being made.
	failureScore   float64
	failureScoreAt clock.Microseconds
	penalty        clock.Microseconds
	recentSends    []clock.Microseconds
	// warmupUntil is until when the engine is taken for cold whatever the list says.
	warmupUntil clock.Microseconds
	// pendingResponses is how many answers the engine has not ended, heard when it showed anything last.
	pendingResponses int
	lastActivity     clock.Microseconds
}

// otherRoutersLoad is how many requests of other routers the engine is taken to have.
func (e *engineState) otherRoutersLoad(now clock.Microseconds) float64 {
	age := now - e.loadReportedAt
	if !e.load.Reported || age >= loadReportTTL {
		return 0
	}
	decay := 1 - float64(age)/float64(loadReportTTL)
	return decay * float64(max(e.load.Running+e.load.Waiting-e.running, 0))
}

func (e *engineState) hasCached(now clock.Microseconds, chunk string) bool {
	cachedAt, ok := e.cachedChunks[chunk]
	return ok && now-cachedAt < cacheRetention
}

// uncachedTokens is how many tokens of a prompt the engine would have to read. Home says that the
// prompt's shared pieces are at home there, so that other routers send them there too.
func (e *engineState) uncachedTokens(now clock.Microseconds, prompt []platformport.PromptChunk, preferred bool) int {
	tokens, prefixCached := 0, true
	for index, chunk := range prompt {
		shared := index < len(prompt)-1
		if prefixCached = prefixCached && shared && (preferred || e.hasCached(now, chunk.Name)); !prefixCached {
			tokens += chunk.Tokens
		}
	}
	return tokens
}

func (e *engineState) recordCached(now clock.Microseconds, prompt []platformport.PromptChunk) {
	if len(e.cachedChunks) > maxCachedChunks {
		clear(e.cachedChunks)
	}
	for _, chunk := range prompt {
		e.cachedChunks[chunk.Name] = now
	}
}

func (e *engineState) recordFailure(now clock.Microseconds) {
	e.consecutiveFailures++
	e.addFailure(now, 1)
	backoff := minEjection << min(e.consecutiveFailures-1, 3)
	e.suspectUntil = now + min(backoff, maxEjection)
}

func (e *engineState) recordResponse(now clock.Microseconds, load platformport.Load) {
	e.consecutiveFailures, e.suspectUntil, e.lastActivity = 0, 0, now
	if load.Reported {
		e.load, e.loadReportedAt = load, now
	}
}

// unresponsive tells whether the engine owes answers and has shown nothing for longer than any
// answer takes.
func (e *engineState) unresponsive(now clock.Microseconds, prefillRate float64) bool {
	return e.idleBeyond(now, prefillRate, unresponsiveTimeout)
}

// lagging tells whether an engine that owes answers has shown nothing for longer than well
// ones do, so that new work is better sent elsewhere.
func (e *engineState) lagging(now clock.Microseconds, prefillRate float64) bool {
	return e.idleBeyond(now, prefillRate, laggingTimeout)
}

func (e *engineState) idleBeyond(now clock.Microseconds, prefillRate float64, timeout clock.Microseconds) bool {
	if e.pendingResponses == 0 {
		return false
	}
	backlogTime := clock.Microseconds(float64(e.queuedPromptTokens) / prefillRate * 1000)
	return now-e.lastActivity > timeout+2*backlogTime
}

// laggingTimeout is longer than most answers take to show something.
const laggingTimeout = 350 * clock.Millisecond

// unresponsiveTimeout is longer than a well engine that owes an answer goes without showing anything.
const unresponsiveTimeout = 700 * clock.Millisecond
