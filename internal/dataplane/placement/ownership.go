package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coursepass/internal/platformport"
	"coursepass/internal/rendezvous"
	"coursepass/internal/state/pairing"
)

// minPrefixTokens is how many tokens of shared prefix a prompt has at least to be placed wherever its prefix
// is cached, be it in another zone. Below it a prefix is computed sooner than its request has crossed zones.
const minPrefixTokens = 1000

// minSharedChunks is how many chunks a prompt with a shared prefix has at least: the last is its own.
const minSharedChunks = 2

// Ownership is the division of a service's engines among the placement owners, and of requests among them.
// It is the same at all routers that know the same assignment and engines. It is immutable.
type Ownership struct {
	owners []pairing.PlacementOwner
	// hashes are those of the owners' names, by the owner's index.
	hashes []rendezvous.Hash
	// engines are the engines of each owner, by the owner's index; prefillers counts those that prefill.
	engines    [][]platformport.Engine
	prefillers []int
	// ownerByEngine has the index of each engine's owner, by incarnation.
	ownerByEngine map[string]int
}

// NewOwnership divides engines among owners: an engine goes to an owner of its zone if there is one. The
// owners of a zone have equally many engines of each role, up to one.
func NewOwnership(owners []pairing.PlacementOwner, engines []platformport.Engine) *Ownership {
	ownership := &Ownership{
		owners:     owners,
		engines:    make([][]platformport.Engine, len(owners)),
		prefillers: make([]int, len(owners)),

		ownerByEngine: make(map[string]int, len(engines)),
	}
	if len(owners) == 0 {
		return ownership
	}
	for _, owner := range owners {
		ownership.hashes = append(ownership.hashes, rendezvous.New(owner.Router))
	}
	groups := map[groupKey][]*platformport.Engine{}
	for index := range engines {
		key := groupKey{engines[index].Zone, engines[index].Role}
		groups[key] = append(groups[key], &engines[index])
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(left, right groupKey) int {
		return cmp.Or(cmp.Compare(left.zone, right.zone), cmp.Compare(left.role, right.role))
	})
	for _, key := range keys {
		ownership.divide(key, groups[key])
	}
	return ownership
}

// groupKey names the engines that are divided equally.
type groupKey struct{ zone, role string }

// divide gives each engine of a group to the owner with the highest score among those that have not got
// their equal part yet, so that few engines change owners when one comes or goes.
func (o *Ownership) divide(key groupKey, engines []*platformport.Engine) {
	slices.SortFunc(engines, func(left, right *platformport.Engine) int {
		return cmp.Compare(left.Incarnation, right.Incarnation)
	})
	candidates := o.ownersOf(key.zone)
	capacity := (len(engines) + len(candidates) - 1) / len(candidates)
	taken := make([]int, len(o.owners))
	for _, engine := range engines {
		best, highest := -1, uint64(0)
		for _, index := range candidates {
			score := o.hashes[index].Score(engine.Incarnation)
			if taken[index] < capacity && (best < 0 || score > highest) {
				best, highest = index, score
			}
		}
		taken[best]++
		o.engines[best] = append(o.engines[best], *engine)
		o.ownerByEngine[engine.Incarnation] = best
		if engine.Role != pairing.RoleDecode {
			o.prefillers[best]++
		}
	}
}

// ownersOf returns the indices of a zone's owners, or those of all if the zone has none.
func (o *Ownership) ownersOf(zone string) []int {
	var inZone, all []int
	for index, owner := range o.owners {
		all = append(all, index)
		if owner.Zone == zone {
			inZone = append(inZone, index)
		}
	}
	if len(inZone) > 0 {
		return inZone
	}
	return all
}

// EnginesOf returns the engines of a router, none if it is no owner.
func (o *Ownership) EnginesOf(router string) []platformport.Engine {
	for index, owner := range o.owners {
		if owner.Router == router {
			return o.engines[index]
		}
	}
	return nil
}

// OwnerOf returns the owner of an engine. It reports false if the engine is unknown.
func (o *Ownership) OwnerOf(incarnation string) (pairing.PlacementOwner, bool) {
	index, known := o.ownerByEngine[incarnation]
	if !known {
		return pairing.PlacementOwner{}, false
	}
	return o.owners[index], true
}

// OwnerFor returns the owner that places a request of a router's zone. Requests that share a long prefix
// have the same one at all routers, all others one of the zone. It reports false if there is none.
func (o *Ownership) OwnerFor(zone, requestID string, prompt []platformport.PromptChunk) (pairing.PlacementOwner, bool) {
	key, candidates := requestID, o.ownersOf(zone)
	if prefix, tokens := sharedPrefix(prompt); tokens >= minPrefixTokens {
		key, candidates = prefix, o.ownersOf("")
	}
	best, highest := -1, math.Inf(-1)
	for _, index := range candidates {
		if len(o.engines[index]) == 0 {
			continue
		}
		if score := weightedScore(o.hashes[index].Score(key), o.prefillers[index]); score > highest {
			best, highest = index, score
		}
	}
	if best < 0 {
		return pairing.PlacementOwner{}, false
	}
	return o.owners[best], true
}

// sharedPrefix returns the name of the last chunk that a prompt shares with others, and the tokens up to it.
func sharedPrefix(prompt []platformport.PromptChunk) (string, int) {
	if len(prompt) < minSharedChunks {
		return "", 0
	}
	tokens := 0
	for _, chunk := range prompt[:len(prompt)-1] {
		tokens += chunk.Tokens
	}
	return prompt[len(prompt)-minSharedChunks].Name, tokens
}

// weightedScore turns a score into that of weighted rendezvous hashing: of all owners, each has the highest one for
// a part of the keys that is proportional to its weight.
func weightedScore(score uint64, weight int) float64 {
	const hashRange = 1 << 53
	uniform := (float64(score%hashRange) + 1) / (hashRange + 1)
	return -float64(max(weight, 1)) / math.Log(uniform)
}
