package balancer

import (
	"cmp"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/rendezvous"
)

const (
	// cacheRetention is how long an engine is assumed to cache a prompt chunk that was sent to it.
	cacheRetention = 20 * clock.Second
	// maxCachedChunks limits the number of chunks that are tracked for one engine. Beyond it, the record
	// of the engine is cleared.
	maxCachedChunks = 4096
	// smallPrefixTokens is the number of tokens below which a shared prefix has several preferred engines.
	// There are few such prefixes, and they are computed fast.
	smallPrefixTokens = 1000
	// smallPrefixDivisor is the divisor of the number of engines that gives the number of preferred engines
	// of a small prefix.
	smallPrefixDivisor = 8
	// minSharedChunks is the minimum number of chunks of a prompt with a shared prefix. The last chunk is
	// not shared.
	minSharedChunks = 2
)

// hasCached reports whether the engine is assumed to have a prompt chunk in its prefix cache.
func (e *engineState) hasCached(now clock.Microseconds, chunk string) bool {
	cachedAt, ok := e.cachedChunks[chunk]
	return ok && now-cachedAt < cacheRetention
}

// recordCached records that the engine caches the chunks of a prompt that is sent to it.
func (e *engineState) recordCached(now clock.Microseconds, prompt []platformport.PromptChunk) {
	if len(e.cachedChunks) > maxCachedChunks {
		clear(e.cachedChunks)
	}
	for _, chunk := range prompt {
		e.cachedChunks[chunk.Name] = now
	}
}

// uncachedTokens estimates the number of prompt tokens that the engine would have to compute. A preferred
// engine is assumed to have cached the shared prefix, since other routers send requests with this prefix there
// too. The last chunk belongs to this request alone and is never cached.
func (e *engineState) uncachedTokens(now clock.Microseconds, prompt []platformport.PromptChunk, preferred bool) int {
	tokens := 0
	prefixCached := true
	for index, chunk := range prompt {
		shared := index < len(prompt)-1
		prefixCached = prefixCached && shared && (preferred || e.hasCached(now, chunk.Name))
		if !prefixCached {
			tokens += chunk.Tokens
		}
	}
	return tokens
}

// anyHasPrefix reports whether any engine is assumed to have the last shared chunk of a prompt in its
// prefix cache.
func anyHasPrefix(now clock.Microseconds, engines []*engineState, prompt []platformport.PromptChunk) bool {
	if len(prompt) < minSharedChunks {
		return false
	}
	sharedPrefix := prompt[len(prompt)-minSharedChunks].Name
	return slices.ContainsFunc(engines, func(engine *engineState) bool { return engine.hasCached(now, sharedPrefix) })
}

// preferredEngines returns the engines that should cache the shared prefix of a prompt. It uses rendezvous
// hashing (Thaler and Ravishankar, 1998), so that all routers prefer the same engines. It returns nil for a
// prompt without a shared prefix.
func preferredEngines(prompt []platformport.PromptChunk, engines []*engineState) map[*engineState]bool {
	if len(prompt) < minSharedChunks || len(engines) == 0 {
		return nil
	}
	count := 1
	if platformport.TotalTokens(prompt)-platformport.UnsharedTokens(prompt) < smallPrefixTokens {
		count = max(len(engines)/smallPrefixDivisor, 1)
	}
	sharedPrefix := prompt[len(prompt)-minSharedChunks].Name
	type scoredEngine struct {
		engine *engineState
		score  uint64
	}
	hash := rendezvous.New(sharedPrefix)
	scored := make([]scoredEngine, 0, len(engines))
	for _, engine := range engines {
		scored = append(scored, scoredEngine{engine, hash.Score(engine.Incarnation)})
	}
	slices.SortStableFunc(scored, func(left, right scoredEngine) int { return cmp.Compare(right.score, left.score) })
	preferred := map[*engineState]bool{}
	for _, best := range scored[:min(count, len(scored))] {
		preferred[best.engine] = true
	}
	return preferred
}
