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

// minPrefixTokens is the minimum number of tokens of a shared prefix for which a request is placed where the
// prefix is cached, even in another zone. A shorter prefix is computed faster than the request crosses zones.
const minPrefixTokens = 1000

// minSharedChunks is the minimum number of chunks of a prompt with a shared prefix. The last chunk is not
// shared.
const minSharedChunks = 2

// Ownership divides the engines of a service, and the requests to it, among the placement owners. All routers
// that know the same assignment and engines compute the same Ownership. It is immutable.
type Ownership struct {
	owners []pairing.PlacementOwner
	// hashes holds the hashes of the owners' names, by the owner's index.
	hashes []rendezvous.Hash
	// engines holds the engines of each owner, by the owner's index. prefillers holds the number of them
	// that may compute prompts for other engines.
	engines    [][]platformport.Engine
	prefillers []int
	// ownerByEngine holds the index of each engine's owner, by incarnation.
	ownerByEngine map[string]int
}

// NewOwnership divides engines among owners. An engine goes to an owner of its zone if there is one. Of the
// engines of one zone and role, no owner gets more than its equal share, rounded up.
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

// groupKey identifies a group of engines that is divided equally among owners.
type groupKey struct{ zone, role string }

// divide assigns each engine of a group to the owner with the highest rendezvous score among the owners below
// their equal share, so that few engines change owners when an engine is added or removed.
func (o *Ownership) divide(key groupKey, engines []*platformport.Engine) {
	slices.SortFunc(engines, func(left, right *platformport.Engine) int {
		return cmp.Compare(left.Incarnation, right.Incarnation)
	})
	candidates := o.ownersOf(key.zone)
	capacity := (len(engines) + len(candidates) - 1) / len(candidates)
	assigned := make([]int, len(o.owners))
	for _, engine := range engines {
		best, highest := -1, uint64(0)
		for _, index := range candidates {
			score := o.hashes[index].Score(engine.Incarnation)
			if assigned[index] < capacity && (best < 0 || score > highest) {
				best, highest = index, score
			}
		}
		assigned[best]++
		o.engines[best] = append(o.engines[best], *engine)
		o.ownerByEngine[engine.Incarnation] = best
		if engine.Role != pairing.RoleDecode {
			o.prefillers[best]++
		}
	}
}

// ownersOf returns the indices of the owners in a zone, or of all owners if the zone has none.
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

// EnginesOf returns the engines that a router owns, none if the router is no owner.
func (o *Ownership) EnginesOf(router string) []platformport.Engine {
	for index, owner := range o.owners {
		if owner.Router == router {
			return o.engines[index]
		}
	}
	return nil
}

// OwnerOf returns the owner of an engine. It returns false if the engine has no owner.
func (o *Ownership) OwnerOf(incarnation string) (pairing.PlacementOwner, bool) {
	index, known := o.ownerByEngine[incarnation]
	if !known {
		return pairing.PlacementOwner{}, false
	}
	return o.owners[index], true
}

// OwnerFor returns the owner that places a request of a router in the given zone. Requests that share a prefix
// of at least minPrefixTokens have the same owner on all routers. All other requests have an owner of the zone,
// or any owner if the zone has none. It returns false if none of these owners has engines.
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

// sharedPrefix returns the name of the last chunk that a prompt may share with others, and the number of tokens
// up to the end of this chunk. Without a shared prefix, it returns an empty name and 0.
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

// weightedScore turns a rendezvous score into a score of weighted rendezvous hashing: the share of the keys for
// which an owner has the highest score is proportional to its weight.
func weightedScore(score uint64, weight int) float64 {
	const hashRange = 1 << 53
	uniform := (float64(score%hashRange) + 1) / (hashRange + 1)
	return -float64(max(weight, 1)) / math.Log(uniform)
}
