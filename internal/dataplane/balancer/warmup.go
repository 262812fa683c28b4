package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/rendezvous"
)

const (
	// warmupWindow is the time over which requests to an engine that is warming up are counted: a
	// little longer than the second to which its rate applies.
	warmupWindow = 1200 * clock.Millisecond
	// singleRequestMargin is the part of a quota below one request that is used.
	singleRequestMargin = 0.7
	// hashBuckets is the resolution at which routers are picked for a quota below one request.
	hashBuckets = 1000
)

// warmingUp reports whether the engine gets fewer requests for now.
func (e *engineState) warmingUp(now clock.Microseconds) bool {
	return e.WarmupRemaining > 0 || now < e.warmupUntil
}

// sendsInWindow counts the requests that were recently sent to the engine during its warm-up.
func (e *engineState) sendsInWindow(now clock.Microseconds) int {
	count := 0
	for _, sentAt := range e.recentSends {
		if now-sentAt < warmupWindow {
			count++
		}
	}
	return count
}

// recordWarmupSend records a request that is sent during the warm-up, and forgets those outside the
// window.
func (e *engineState) recordWarmupSend(now clock.Microseconds) {
	kept := 0
	for _, sentAt := range e.recentSends {
		if now-sentAt < warmupWindow {
			e.recentSends[kept] = sentAt
			kept++
		}
	}
	e.recentSends = append(e.recentSends[:kept], now)
}

// withinWarmupRate reports whether the warm-up of an engine permits one more request. All routers
// together stay below its rate, without talking to each other.
func (b *Balancer) withinWarmupRate(now clock.Microseconds, engine *engineState) bool {
	if !engine.warmingUp(now) || b.service.WarmUpRate <= 0 {
		return true
	}
	quota := (b.service.WarmUpRate*b.WarmupOverrun + b.WarmupSlack/2) / float64(b.routerCount)
	limit := int(quota)
	if limit == 0 {
		// Only some routers may use the engine. All routers agree on which.
		bucket := rendezvous.Score(engine.Incarnation, b.Router) % hashBuckets
		if float64(bucket)/hashBuckets >= quota*singleRequestMargin {
			return false
		}
		limit = 1
	}
	return engine.sendsInWindow(now) < limit
}

// Admit counts a call that is sent to an engine now. It reports false, and counts nothing, if the
// engine is warming up and has got its share since it was selected. Each admitted call must be
// ended with Release.
func (b *Balancer) Admit(now clock.Microseconds, incarnation string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	if !b.withinWarmupRate(now, engine) {
		return false
	}
	if engine.pendingResponses == 0 {
		engine.lastActivity = now
	}
	engine.pendingResponses++
	if engine.warmingUp(now) {
		engine.recordWarmupSend(now)
	}
	return true
}

// Release ends a call that Admit has counted: the engine owes nothing more of it.
func (b *Balancer) Release(incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.pendingResponses = max(engine.pendingResponses-1, 0)
}
