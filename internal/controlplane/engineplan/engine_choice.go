package engineplan

import (
	"cmp"
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

// chooseEngine returns the name of the engine that is best changed to a role: one that has not failed
// to change lately, is warm, and is in the zone with the most engines of other roles. Ties go by name.
// At least one engine must have another role.
func (p *Planner) chooseEngine(now clock.Microseconds, engines []registry.Engine, role string) string {
	countByZone := map[string]int{}
	var candidates []registry.Engine
	for _, engine := range engines {
		if engine.Role != role {
			countByZone[engine.Zone]++
			candidates = append(candidates, engine)
		}
	}
	cost := func(engine registry.Engine) int {
		total := -countByZone[engine.Zone]
		if engine.WarmingUp {
			total += warmupPenalty
		}
		if p.failedRecently(now, engine.Name) {
			total += failurePenalty
		}
		return total
	}
	best := slices.MinFunc(candidates, func(left, right registry.Engine) int {
		return cmp.Or(cmp.Compare(cost(left), cost(right)), cmp.Compare(left.Name, right.Name))
	})
	return best.Name
}

func (p *Planner) failedRecently(now clock.Microseconds, name string) bool {
	failedAt, hasFailed := p.failures[name]
	return hasFailed && now-failedAt < roleChangeBackoff
}
