package engineplan

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// RouterStabilizationWindow is the time for which a new set of routers must stay unchanged before it is assigned.
const RouterStabilizationWindow = 2 * clock.Second

// SchedulableEngines returns the engines of a service that may receive new requests: those that are not draining and
// whose zone is available. The order is unspecified.
func SchedulableEngines(service string, view registry.View, zoneUnavailable func(zone string) bool) []registry.Engine {
	var live []registry.Engine
	for _, engine := range view.Engines {
		if engine.Service == service && !engine.Draining && !zoneUnavailable(engine.Zone) {
			live = append(live, engine)
		}
	}
	return live
}

// AssignedRouters returns the routers for the next assignment. It returns the routers of the committed
// assignment until the new set of routers is stable, so that restarts of routers cause no proposals. A
// service without a committed assignment gets the new set at once.
func AssignedRouters(committed pairing.Assignment, routers []string, routersStable bool) []string {
	neverCommitted := len(committed.Routers) == 0 && committed.Owner == ""
	if routersStable || neverCommitted {
		return routers
	}
	return committed.Routers
}
