package engineplan

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// RouterStabilizationWindow is how long a new set of routers must be stable until it is assigned.
const RouterStabilizationWindow = 2 * clock.Second

// SchedulableEngines returns the engines of a service that may get new work, in no particular order.
func SchedulableEngines(service string, view registry.View, zoneUnavailable func(zone string) bool) []registry.Engine {
	var live []registry.Engine
	for _, engine := range view.Engines {
		if engine.Service == service && !engine.Draining && !zoneUnavailable(engine.Zone) {
			live = append(live, engine)
		}
	}
	return live
}

// AssignedRouters returns the routers of a drafted assignment: those of the committed one until a new
// set of routers has been stable, so that restarting routers cause no proposals.
func AssignedRouters(committed pairing.Assignment, routers []string, routersStable bool) []string {
	neverCommitted := len(committed.Routers) == 0 && committed.Owner == ""
	if routersStable || neverCommitted {
		return routers
	}
	return committed.Routers
}
