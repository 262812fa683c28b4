package balancer

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// warmupWindow is a little longer than the second in which a cold engine's requests count.
const warmupWindow = 1200 * clock.Millisecond

// withinWarmupRate tells whether a request may be sent to an engine as far as its coldness goes:
// all routers together stay below its rate.
func (b *Balancer) withinWarmupRate(now clock.Microseconds, engine *engineState) bool {
	if !engine.warmingUp(now) || b.service.ColdRate <= 0 {
		return true
	}
	quota := (b.service.ColdRate*b.WarmupOverrun + b.WarmupSlack/2) / float64(b.routerCount)
	limit := int(quota)
	if limit == 0 {
		// Only some of the routers may use it, the same ones as all others think.
		if float64(rendezvousScore(engine.Incarnation, b.Router)%1000)/1000 >= quota*0.7 {
			return false
		}
		limit = 1
	}
	sent := 0
	for _, sentAt := range engine.recentSends {
		if now-sentAt < warmupWindow {
			sent++
		}
	}
	return sent < limit
}

func (e *engineState) warmingUp(now clock.Microseconds) bool {
	return e.WarmupRemaining > 0 || now < e.warmupUntil
}

func (b *Balancer) engine(incarnation string) *engineState {
	engine, ok := b.engines[incarnation]
	if !ok {
		// It was dropped from the list meanwhile: what is noted of it is of no use.
		return &engineState{cachedChunks: map[string]clock.Microseconds{}}
	}
	return engine
}

// Admit notes that a request goes out to an engine now; false if it may not, since the
// engine is cold and has had its share since it was chosen.
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
		recent := engine.recentSends[:0]
		for _, sentAt := range engine.recentSends {
			if now-sentAt < warmupWindow {
				recent = append(recent, sentAt)
			}
		}
		engine.recentSends = append(recent, now)
	}
	return true
}

// RecordResponse notes that a request had an answer's head.
func (b *Balancer) RecordResponse(now clock.Microseconds, incarnation string, load platformport.Load) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).recordResponse(now, load)
}

// RecordActivity notes that an engine has shown more of an answer.
func (b *Balancer) RecordActivity(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).lastActivity = now
}

// Release notes that nothing more is to come of a request.
func (b *Balancer) Release(incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.pendingResponses = max(engine.pendingResponses-1, 0)
}

// Unresponsive tells whether an engine owes answers and has shown nothing for too long.
func (b *Balancer) Unresponsive(now clock.Microseconds, incarnation string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.engine(incarnation).unresponsive(now, b.prefillRate)
}

// RecordFailure notes that an engine broke off, was silent or could not be reached.
func (b *Balancer) RecordFailure(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).recordFailure(now)
}

// RecordPeerReport takes another router's word that an engine did not answer it. One that has shown
// something here just now is trusted on.
func (b *Balancer) RecordPeerReport(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.addFailure(now, peerReportWeight)
	if now-engine.lastActivity > recentActivityWindow {
		engine.suspectUntil = max(engine.suspectUntil, now+peerReportEjection)
	}
}

// RecordRejection notes that an engine turned a request away since it was full.
func (b *Balancer) RecordRejection(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.load, engine.loadReportedAt = platformport.Load{Running: engine.Slots, Waiting: engine.Slots, Slots: engine.Slots, Reported: true}, now
}

// RecordStaleEntry notes that an engine has another life or part than the list says.
func (b *Balancer) RecordStaleEntry(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).suspectUntil = now + clock.Second
}

// AddPromptTokens notes tokens that an engine reads for this router, and Read that it has.
func (b *Balancer) AddPromptTokens(incarnation string, tokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.queuedPromptTokens = max(engine.queuedPromptTokens+tokens, 0)
}

// FinishPrefill notes the end of a reading; took is 0 if it did not end well. Sure says that no
// more than so many tokens can have been spared.
func (b *Balancer) FinishPrefill(now clock.Microseconds, incarnation string, prompt []platformport.PromptChunk, tokens int, elapsed clock.Microseconds, unsharedOnly bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.queuedPromptTokens = max(engine.queuedPromptTokens-tokens, 0)
	if elapsed == 0 {
		return
	}
	engine.recordCached(now, prompt)
	b.meanPromptTokens += (float64(tokens) - b.meanPromptTokens) / 32
	b.prefillBusyTime += b.prefillTime(tokens, 1)
	if elapsed -= firstTokenTime; unsharedOnly && tokens > 2000 && elapsed > clock.Millisecond {
		observedRate := float64(tokens) / (float64(elapsed) / float64(clock.Millisecond))
		// What others have read there meanwhile makes an engine look slow, never fast.
		smoothing := 64.0
		if observedRate > b.prefillRate {
			smoothing = 8
		}
		b.prefillRate += (min(max(observedRate, 5), 400) - b.prefillRate) / smoothing
	}
}

// CountPending adds the calls under way at engines of the given regions, by engine.
func (b *Balancer) CountPending(regions []string, counts map[string]int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for incarnation, engine := range b.engines {
		if engine.pendingResponses > 0 && slices.Contains(regions, b.Regions.RegionOf(engine.Zone)) {
			counts[incarnation] += engine.pendingResponses
		}
	}
}

// AddRunning counts an answer under way at an engine; change is one more or one less.
func (b *Balancer) AddRunning(now clock.Microseconds, incarnation string, prompt []platformport.PromptChunk, delta int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.running = max(engine.running+delta, 0)
	if delta > 0 {
		engine.recordCached(now, prompt)
	}
}

// longPromptTokens is from how many tokens on a prompt that a writer reads by itself counts as
// reading that found no reader.
const longPromptTokens = 1500

// RecordDecodeWork notes what an answer asks of the engine that makes it: the tokens that it reads
// by itself, and those that it makes.
func (b *Balancer) RecordDecodeWork(prefillTokens, decodeTokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.decodeBusyTime += decodeTimePerToken * clock.Microseconds(decodeTokens)
	if prefillTokens > longPromptTokens {
		b.prefillBusyTime += b.prefillTime(prefillTokens, 1)
		return
	}
	b.decodeBusyTime += b.prefillTime(prefillTokens, 0.5)
}
