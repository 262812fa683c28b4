package balancer

import (
	"cmp"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/rendezvous"
)

const (
	// cacheRetention is how long a prompt chunk that was sent to an engine is assumed to be cached
	// there.
	cacheRetention = 20 * clock.Second
	// maxCachedChunks limits how many chunks are remembered of one engine.
	maxCachedChunks = 4096
	// smallPrefixTokens is below how many tokens a shared prefix is preferred at several engines:
	// there are few of these, and they are computed fast.
	smallPrefixTokens = 1000
	// smallPrefixShare is the divisor of the number of engines that prefer a small prefix.
	smallPrefixShare = 8
	// minSharedChunks is how many chunks a prompt with a shared prefix has at least: the last is its own.
	minSharedChunks = 2
)

// hasCached reports whether the engine is assumed to have a prompt chunk in its cache.
func (e *engineState) hasCached(now clock.Microseconds, chunk string) bool {
	cachedAt, ok := e.cachedChunks[chunk]
	return ok && now-cachedAt < cacheRetention
}

// recordCached records that a prompt is sent to the engine, which caches it.
func (e *engineState) recordCached(now clock.Microseconds, prompt []platformport.PromptChunk) {
	if len(e.cachedChunks) > maxCachedChunks {
		clear(e.cachedChunks)
	}
	for _, chunk := range prompt {
		e.cachedChunks[chunk.Name] = now
	}
}

// uncachedTokens estimates how many tokens of a prompt the engine would have to compute. At a
// preferred engine the shared prefix is assumed to be cached, since other routers send it there
// too. The last chunk is the request's own and never cached.
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
// cache.
func anyHasPrefix(now clock.Microseconds, engines []*engineState, prompt []platformport.PromptChunk) bool {
	if len(prompt) < minSharedChunks {
		return false
	}
	sharedPrefix := prompt[len(prompt)-minSharedChunks].Name
	return slices.ContainsFunc(engines, func(engine *engineState) bool { return engine.hasCached(now, sharedPrefix) })
}

// preferredEngines returns the engines that should cache a prompt's shared prefix, the same ones at
// all routers, by rendezvous hashing (Thaler and Ravishankar, 1998). It returns nil for a prompt
// without a shared prefix.
func preferredEngines(prompt []platformport.PromptChunk, engines []*engineState) map[*engineState]bool {
	if len(prompt) < minSharedChunks || len(engines) == 0 {
		return nil
	}
	count := 1
	if totalTokens(prompt)-unsharedTokens(prompt) < smallPrefixTokens {
		count = max(len(engines)/smallPrefixShare, 1)
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

// totalTokens returns the number of tokens of a prompt.
func totalTokens(prompt []platformport.PromptChunk) int {
	tokens := 0
	for _, chunk := range prompt {
		tokens += chunk.Tokens
	}
	return tokens
}

// unsharedTokens returns the number of tokens that a prompt shares with no other request.
func unsharedTokens(prompt []platformport.PromptChunk) int {
	if count := len(prompt); count > 0 {
		return prompt[count-1].Tokens
	}
	return 0
}
