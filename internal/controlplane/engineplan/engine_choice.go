package engineplan

import (
	"cmp"
	"math"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// roleChangeBackoff is the time for which an engine that failed to change its role is chosen only
	// if no other engine is left.
	roleChangeBackoff = 300 * clock.Second
	// failurePenalty is the cost of choosing an engine that recently failed to change its role. It
	// exceeds warmupPenalty plus any number of engines in a zone.
	failurePenalty = 1 << 30
	// warmupPenalty is the cost of choosing an engine that is warming up. It exceeds any number of
	// engines in a zone.
	warmupPenalty = 1 << 20
)

// roleCandidate is an engine that may change its role, with the cost of choosing it.
type roleCandidate struct {
	name    string
	penalty int
}

// chooseEngines returns the names of the engines to change to a role, the best first. It returns the wanted number,
// or fewer if fewer engines have another role. It prefers engines that have not recently failed to change their role,
// then engines that are not warming up, then engines in the zone with the most candidates that are not chosen yet,
// and finally the engine whose name sorts first.
func (p *Planner) chooseEngines(now clock.Microseconds, engines []registry.Engine, role string, wanted int) []string {
	byZone := map[string][]roleCandidate{}
	for index := range engines {
		if engine := &engines[index]; engine.Role != role {
			candidate := roleCandidate{name: engine.Name, penalty: p.changePenalty(now, engine)}
			byZone[engine.Zone] = append(byZone[engine.Zone], candidate)
		}
	}
	for _, candidates := range byZone {
		slices.SortFunc(candidates, func(left, right roleCandidate) int {
			return cmp.Or(cmp.Compare(left.penalty, right.penalty), cmp.Compare(left.name, right.name))
		})
	}
	var chosen []string
	for len(chosen) < wanted && len(byZone) > 0 {
		zone := bestZone(byZone)
		chosen = append(chosen, byZone[zone][0].name)
		byZone[zone] = byZone[zone][1:]
		if len(byZone[zone]) == 0 {
			delete(byZone, zone)
		}
	}
	return chosen
}

// bestZone returns the zone whose first candidate has the lowest cost. There must be at least one zone, and no zone
// may be empty.
func bestZone(byZone map[string][]roleCandidate) string {
	var bestCandidate roleCandidate
	chosenZone, lowestCost := "", math.MaxInt
	for zone, candidates := range byZone {
		first, cost := candidates[0], candidates[0].penalty-len(candidates)
		if cost < lowestCost || cost == lowestCost && first.name < bestCandidate.name {
			bestCandidate, chosenZone, lowestCost = first, zone, cost
		}
	}
	return chosenZone
}

// changePenalty returns the cost of changing the engine's role, apart from its zone.
func (p *Planner) changePenalty(now clock.Microseconds, engine *registry.Engine) int {
	penalty := 0
	if engine.WarmingUp {
		penalty += warmupPenalty
	}
	if p.failedRecently(now, engine.Name) {
		penalty += failurePenalty
	}
	return penalty
}

// failedRecently reports whether the engine failed to change its role within the last roleChangeBackoff.
func (p *Planner) failedRecently(now clock.Microseconds, name string) bool {
	failedAt, hasFailed := p.failures[name]
	return hasFailed && now-failedAt < roleChangeBackoff
}
