package balancer

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// Selection holds the engines that serve a request and the estimates for this placement.
type Selection struct {
	// Prefiller computes the KV cache of the prompt if Split is set; otherwise Prefiller is empty.
	Prefiller platformport.Engine
	// Decoder generates the response. It also computes the prompt unless Split is set.
	Decoder platformport.Engine
	// Split reports whether a separate engine computes the prompt.
	Split bool
	// TimeToFirstToken is the cost of the placement: the estimated time to the first token plus
	// penalties, in microseconds.
	TimeToFirstToken clock.Microseconds
	// PrefillWait is the expected queueing time of the prefill, PrefillTime its expected duration after
	// that. Both are set for split selections only.
	PrefillWait, PrefillTime clock.Microseconds
	// UncachedTokens is the estimated number of prompt tokens that have to be computed.
	UncachedTokens int
	// UnsharedOnly reports whether UncachedTokens is at most the number of tokens that the prompt shares
	// with no other request. It is set for split selections only.
	UnsharedOnly bool
	// PlacedByOwner reports whether the selection was made by a placement owner. An owner places the
	// requests of all routers.
	PlacedByOwner bool
	// PausedRuns is the number of responses that the decoder would pause for too long if it computed the
	// prompt itself.
	PausedRuns int
	// Full reports whether the decoder is assumed to have no free slot.
	Full bool
}

// candidate is a decoder and the cost of generating the response there.
type candidate struct {
	*engineState
	cost clock.Microseconds
}

// groupKey identifies the decoders of one zone that may fetch KV caches from the same prefillers.
type groupKey struct {
	group string
	zone  string
}

// cheapestPair holds the two cheapest decoders of a group, the cheaper one first. Two are enough, since
// at most one of them is the prefiller itself.
type cheapestPair [2]candidate

// insert adds a decoder if it is among the two cheapest.
func (c *cheapestPair) insert(added candidate) {
	switch {
	case c[0].engineState == nil || added.cost < c[0].cost:
		c[0], c[1] = added, c[0]
	case c[1].engineState == nil || added.cost < c[1].cost:
		c[1] = added
	}
}

// candidates returns all decoders with their costs, and the two cheapest decoders of each group.
func (b *Balancer) candidates(
	now clock.Microseconds,
	requirements Requirements,
	decoders []*engineState,
) ([]candidate, map[groupKey]cheapestPair) {
	candidates := make([]candidate, len(decoders))
	cheapest := map[groupKey]cheapestPair{}
	for index, decoder := range decoders {
		cost := b.decodeCost(now, decoder, requirements) + b.tieBreakCost(requirements, decoder)
		candidates[index] = candidate{decoder, cost}
		key := groupKey{b.affinityGroup(decoder), decoder.Zone}
		pair := cheapest[key]
		pair.insert(candidates[index])
		cheapest[key] = pair
	}
	return candidates, cheapest
}

// Select returns the placement with the lowest cost. It returns false if the request may not be sent to
// any decoder.
func (b *Balancer) Select(now clock.Microseconds, requirements Requirements) (Selection, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.selectPlacement(now, requirements)
}

// selectPlacement implements Select. The caller holds the lock.
func (b *Balancer) selectPlacement(now clock.Microseconds, requirements Requirements) (Selection, bool) {
	prefillers, decoders := b.eligible(now, requirements)
	if len(decoders) == 0 {
		return Selection{}, false
	}
	candidates, cheapest := b.candidates(now, requirements, decoders)
	best, lowestCost := b.selectUnsplit(now, requirements, decoders, candidates)
	if requirements.NoSplit {
		return best, true
	}
	promptTokens := platformport.TotalTokens(requirements.Prompt)
	unshared := platformport.UnsharedTokens(requirements.Prompt)
	preferred := preferredEngines(requirements.Prompt, prefillers)
	firstPrefill := b.PlacesForAll && !anyHasPrefix(now, prefillers, requirements.Prompt)
	for _, prefiller := range prefillers {
		tokens := prefiller.uncachedTokens(now, requirements.Prompt, preferred[prefiller] && !b.PlacesForAll)
		duplicated := max(tokens-unshared, 0)
		if firstPrefill && preferred[prefiller] {
			duplicated = 0
		}
		cost := b.prefillCost(now, prefiller, requirements, prefillTokens{tokens, duplicated}) + transferOverhead
		if cost >= lowestCost {
			continue
		}
		decoder, ok := b.cheapestDecoder(prefiller, cheapest, promptTokens)
		if !ok {
			continue
		}
		cost += decoder.cost
		// Among placements of equal cost, an unsplit one wins, then the one whose decoder has the smallest
		// incarnation, so that the result does not depend on the iteration order of maps.
		precedes := best.Split && decoder.Incarnation < best.Decoder.Incarnation
		if cost < lowestCost || cost == lowestCost && precedes {
			lowestCost = cost
			best = Selection{
				Prefiller:        prefiller.Engine,
				Decoder:          decoder.Engine,
				Split:            true,
				TimeToFirstToken: cost,
				PrefillWait:      b.prefillWait(now, prefiller, requirements.Urgency),
				PrefillTime:      b.prefillModel.Duration(tokens, promptTokens-tokens),
				UncachedTokens:   tokens,
				UnsharedOnly:     tokens <= unshared,
				Full:             b.full(now, decoder.engineState),
			}
		}
	}
	return best, true
}

// cheapestDecoder returns the decoder with the lowest cost among those that may fetch a KV cache from the
// prefiller. The cost includes the transfer without transferOverhead. It returns false if there is no such
// decoder.
func (b *Balancer) cheapestDecoder(
	prefiller *engineState,
	cheapest map[groupKey]cheapestPair,
	promptTokens int,
) (candidate, bool) {
	best := candidate{cost: math.MaxInt64}
	group := b.affinityGroup(prefiller)
	for key, pair := range cheapest {
		if key.group != group {
			continue
		}
		transferCost := b.transferCost(prefiller.Zone, key.zone, promptTokens)
		for _, decoder := range pair {
			if decoder.engineState == nil || decoder.engineState == prefiller {
				continue
			}
			cost := decoder.cost + transferCost
			if cost < best.cost || cost == best.cost && decoder.Incarnation < best.Incarnation {
				best = candidate{decoder.engineState, cost}
			}
		}
	}
	return best, best.engineState != nil
}

// selectUnsplit returns the decoder with the lowest cost of computing the prompt and generating the
// response itself, and this cost.
func (b *Balancer) selectUnsplit(
	now clock.Microseconds,
	requirements Requirements,
	decoders []*engineState,
	candidates []candidate,
) (Selection, clock.Microseconds) {
	best, lowestCost := Selection{}, clock.Microseconds(math.MaxInt64)
	preferred := preferredEngines(requirements.Prompt, decoders)
	for _, decoder := range candidates {
		assumeCached := preferred[decoder.engineState] && !b.PlacesForAll
		tokens := decoder.uncachedTokens(now, requirements.Prompt, assumeCached)
		cost := decoder.cost + b.localPrefillCost(now, decoder.engineState, tokens)
		if cost < lowestCost {
			lowestCost = cost
			best = Selection{
				Decoder:          decoder.Engine,
				TimeToFirstToken: cost,
				UncachedTokens:   tokens,
				PausedRuns:       b.pausedRuns(now, decoder.engineState, tokens, requirements.EventTimeout),
				Full:             b.full(now, decoder.engineState),
			}
		}
	}
	return best, lowestCost
}

// pausedRuns returns the estimated number of responses that a decoder would pause for longer than
// eventTimeout allows if it computed the given number of prompt tokens.
func (b *Balancer) pausedRuns(
	now clock.Microseconds,
	decoder *engineState,
	tokens int,
	eventTimeout clock.Microseconds,
) int {
	if !b.exceedsPauseLimit(decoder, tokens, eventTimeout) {
		return 0
	}
	return int(b.occupancy(now, decoder))
}

// SelectDecoder returns the decoder with the lowest cost among those that may fetch a KV cache from the
// prefiller, which need not be listed any more. It replaces a decoder that Select has returned, after the
// prefill has run. It returns false if there is no such decoder.
func (b *Balancer) SelectDecoder(
	now clock.Microseconds,
	requirements Requirements,
	prefiller platformport.Engine,
) (platformport.Engine, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	state, listed := b.engines[prefiller.Incarnation]
	if !listed {
		state = &engineState{Engine: prefiller}
	}
	_, decoders := b.eligible(now, requirements)
	_, cheapest := b.candidates(now, requirements, decoders)
	best, found := b.cheapestDecoder(state, cheapest, platformport.TotalTokens(requirements.Prompt))
	if !found {
		return platformport.Engine{}, false
	}
	return best.Engine, true
}
