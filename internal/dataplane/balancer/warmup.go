package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/rendezvous"
)

const (
	// warmupWindow is the time over which requests to an engine that is warming up are counted. It is
	// slightly longer than the second to which the rate applies.
	warmupWindow = 1200 * clock.Millisecond
	// singleRequestMargin is the share of a quota below one request that is used.
	singleRequestMargin = 0.7
	// hashBuckets is the number of hash buckets by which routers are chosen if the quota of each is below
	// one request.
	hashBuckets = 1000
)

// warmingUp reports whether the engine is warming up and gets requests at a limited rate only.
func (e *engineState) warmingUp(now clock.Microseconds) bool {
	return e.WarmupRemaining > 0 || now < e.warmupUntil
}

// sendsInWindow returns the number of requests that were sent to the engine during its warm-up and within
// the last warmupWindow.
func (e *engineState) sendsInWindow(now clock.Microseconds) int {
	count := 0
	for _, sentAt := range e.recentSends {
		if now-sentAt < warmupWindow {
			count++
		}
	}
	return count
}

// recordWarmupSend records a request that is sent during the warm-up, and removes requests older than
// warmupWindow.
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

// withinWarmupRate reports whether the warm-up of an engine permits one more request from this router. Each
// router takes its share of the rate, so that all routers together stay below the rate without coordination.
func (b *Balancer) withinWarmupRate(now clock.Microseconds, engine *engineState) bool {
	if !engine.warmingUp(now) || b.service.WarmUpRate <= 0 {
		return true
	}
	quota := (b.service.WarmUpRate*b.WarmupOverrun + b.WarmupSlack/2) / float64(b.routerCount)
	limit := int(quota)
	if limit == 0 {
		// Only some of the routers may use the engine. The hash makes all routers agree on which ones.
		bucket := rendezvous.Score(engine.Incarnation, b.Router) % hashBuckets
		if float64(bucket)/hashBuckets >= quota*singleRequestMargin {
			return false
		}
		limit = 1
	}
	return engine.sendsInWindow(now) < limit
}

// Admit counts a call of a phase that is about to be sent to an engine. It returns false and counts nothing
// if the engine may not be given the call any more since Select returned it, or is warming up and has got the
// share of this router. Each admitted call must be ended with Release.
func (b *Balancer) Admit(now clock.Microseconds, incarnation string, phase Phase) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine, listed := b.engines[incarnation]
	if !listed || !b.accepts(engine, phase) || !b.withinWarmupRate(now, engine) {
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

// Release ends a call that Admit has counted: no response data of the call is pending any more.
func (b *Balancer) Release(incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.pendingResponses = max(engine.pendingResponses-1, 0)
}
