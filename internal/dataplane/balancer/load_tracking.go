package balancer

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// RecordResponse records that an engine responded to a request, and the load that the response reported.
func (b *Balancer) RecordResponse(now clock.Microseconds, incarnation string, load platformport.Load) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).recordResponse(now, load)
}

// RecordActivity records that an engine has sent more data of a response.
func (b *Balancer) RecordActivity(now clock.Microseconds, incarnation string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).lastActivity = now
}

// AddPromptTokens adds prompt tokens of a request with the given urgency to the backlog that an engine has
// yet to compute for this router. A negative number removes tokens.
func (b *Balancer) AddPromptTokens(incarnation string, urgency, tokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.engine(incarnation).backlog.add(urgency, tokens)
}

// AddRunning adds delta to the number of responses to a prompt that an engine generates for this router. If delta
// is positive, the engine is assumed to cache the prompt.
func (b *Balancer) AddRunning(
	now clock.Microseconds,
	incarnation string,
	prompt []platformport.PromptChunk,
	delta int,
) {
	b.lock.Lock()
	defer b.lock.Unlock()
	engine := b.engine(incarnation)
	engine.running = max(engine.running+delta, 0)
	engine.runningTokens = max(engine.runningTokens+delta*platformport.UnsharedTokens(prompt), 0)
	if delta > 0 {
		engine.recordCached(now, prompt)
	}
}

// CountPending adds the number of pending calls of each engine in the given regions to counts, by
// incarnation.
func (b *Balancer) CountPending(regions []string, counts map[string]int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for incarnation, engine := range b.engines {
		if engine.pendingResponses > 0 && slices.Contains(regions, b.Regions.RegionOf(engine.Zone)) {
			counts[incarnation] += engine.pendingResponses
		}
	}
}
