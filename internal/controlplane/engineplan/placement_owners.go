package engineplan

import (
	"cmp"
	"maps"
	"slices"

	"coursepass/internal/node"
	"coursepass/internal/rendezvous"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// enginesPerOwner is the approximate number of engines per placement owner. It is large enough for an even load
// and small enough for one router to place all requests for these engines.
const enginesPerOwner = 32

// PlacementOwners returns the routers that place the requests for a service's live engines. Each zone gets one
// owner per enginesPerOwner engines, rounded to the nearest number, chosen from the routers of the zone; if no
// zone gets an owner, the service gets a single one from any zone. Committed owners are kept as long as their
// routers are active at the same address. A service whose engines are not split between the roles has no owners.
func PlacementOwners(
	service string, committed []pairing.PlacementOwner, routers []node.Node, live []registry.Engine,
) []pairing.PlacementOwner {
	if !countRoles(live).isSplit() {
		return nil
	}
	enginesByZone := map[string]int{}
	for _, engine := range live {
		enginesByZone[engine.Zone]++
	}
	var owners []pairing.PlacementOwner
	for _, zone := range slices.Sorted(maps.Keys(enginesByZone)) {
		wanted := (enginesByZone[zone] + enginesPerOwner/2) / enginesPerOwner
		inZone := func(candidate node.Node) bool { return candidate.Zone == zone }
		owners = append(owners, chooseOwners(service, committed, filterNodes(routers, inZone), wanted)...)
	}
	if len(owners) == 0 {
		return chooseOwners(service, committed, routers, 1)
	}
	return owners
}

// filterNodes returns the nodes for which keep returns true.
func filterNodes(nodes []node.Node, keep func(node.Node) bool) []node.Node {
	var kept []node.Node
	for _, candidate := range nodes {
		if keep(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// chooseOwners returns the wanted number of routers as owners, or fewer if there are fewer routers. It prefers
// committed owners, then routers with a higher rendezvous hash score. The result is sorted by name.
func chooseOwners(
	service string, committed []pairing.PlacementOwner, routers []node.Node, wanted int,
) []pairing.PlacementOwner {
	candidates := make([]pairing.PlacementOwner, 0, len(routers))
	for _, router := range routers {
		candidates = append(candidates, pairing.PlacementOwner{
			Router:  router.Name,
			Address: router.InternalAddress,
			Zone:    router.Zone,
		})
	}
	hash := rendezvous.New(service)
	ranks := map[pairing.PlacementOwner]int{}
	for _, owner := range committed {
		ranks[owner] = -1
	}
	slices.SortFunc(candidates, func(left, right pairing.PlacementOwner) int {
		return cmp.Or(
			cmp.Compare(ranks[left], ranks[right]),
			cmp.Compare(hash.Score(right.Router), hash.Score(left.Router)),
			cmp.Compare(left.Router, right.Router),
		)
	})
	chosen := candidates[:min(wanted, len(candidates))]
	slices.SortFunc(chosen, func(left, right pairing.PlacementOwner) int {
		return cmp.Compare(left.Router, right.Router)
	})
	return chosen
}
