package engineplan

import (
	"cmp"
	"math"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// roleChangeBackoff is how long an engine that failed to change role is chosen last.
	roleChangeBackoff = 300 * clock.Second
	// failurePenalty and warmupPenalty are costs of a choice. Each outweighs any number of engines
	// in a zone, and a recent failure outweighs a warmup.
	failurePenalty = 1 << 30
	warmupPenalty  = 1 << 20
)

// roleCandidate is an engine that may change its role.
type roleCandidate struct {
	name    string
	penalty int
}

// chooseEngines returns the names of the engines that are best changed to a role, as many as are wanted or as have
// another role, the best first: an engine that has not failed to change lately, is warm, and is in the zone with the
// most engines of other roles that are not chosen yet. Ties go by name.
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
		best := bestZone(byZone)
		chosen = append(chosen, byZone[best][0].name)
		byZone[best] = byZone[best][1:]
		if len(byZone[best]) == 0 {
			delete(byZone, best)
		}
	}
	return chosen
}

// bestZone returns the zone whose first candidate costs least. There must be one.
func bestZone(byZone map[string][]roleCandidate) string {
	var best roleCandidate
	bestZone, lowest := "", math.MaxInt
	for zone, candidates := range byZone {
		first, cost := candidates[0], candidates[0].penalty-len(candidates)
		if cost < lowest || cost == lowest && first.name < best.name {
			best, bestZone, lowest = first, zone, cost
		}
	}
	return bestZone
}

// changePenalty is what a change of the engine's role costs, whatever its zone.
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

func (p *Planner) failedRecently(now clock.Microseconds, name string) bool {
	failedAt, hasFailed := p.failures[name]
	return hasFailed && now-failedAt < roleChangeBackoff
}
