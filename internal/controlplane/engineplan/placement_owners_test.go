package engineplan

import (
	"fmt"
	"slices"
	"testing"

	"coursepass/internal/node"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// newRouters returns the given number of routers in each zone.
func newRouters(perZone int, zones ...string) []node.Node {
	var routers []node.Node
	for _, zone := range zones {
		for number := range perZone {
			name := fmt.Sprintf("router-%s-%d", zone, number)
			routers = append(routers, node.Node{Name: name, Zone: zone, InternalAddress: name + ":1"})
		}
	}
	return routers
}

// enginesIn returns the given number of engines in a zone, half of them with the prefill role.
func enginesIn(zone string, count int) []registry.Engine {
	var engines []registry.Engine
	for number := range count {
		role := pairing.RolePrefill
		if number%2 == 0 {
			role = pairing.RoleDecode
		}
		engines = append(engines, registry.Engine{Name: fmt.Sprint(zone, number), Zone: zone, Role: role})
	}
	return engines
}

func TestPlacementOwners_NumberByZone(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		engines []registry.Engine
		want    map[string]int
	}{
		{"a small fleet has one", slices.Concat(enginesIn("norte", 4), enginesIn("sur", 4)), nil},
		{"one for each zone", slices.Concat(enginesIn("norte", 30), enginesIn("sur", 20)), map[string]int{"norte": 1, "sur": 1}},
		{"several in a large zone", slices.Concat(enginesIn("norte", 100), enginesIn("sur", 32)), map[string]int{"norte": 3, "sur": 1}},
		{"none in a small zone", slices.Concat(enginesIn("norte", 40), enginesIn("sur", 4)), map[string]int{"norte": 1}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			owners := PlacementOwners("s", nil, newRouters(5, "norte", "sur"), testCase.engines)
			counts := map[string]int{}
			for _, owner := range owners {
				counts[owner.Zone]++
			}
			if testCase.want == nil {
				if len(owners) != 1 {
					t.Errorf("owners = %v, want one", owners)
				}
				return
			}
			for _, zone := range []string{"norte", "sur"} {
				if counts[zone] != testCase.want[zone] {
					t.Errorf("%s has %d owners, want %d", zone, counts[zone], testCase.want[zone])
				}
			}
		})
	}
}

func TestPlacementOwners_StayWhileTheyAreActive(t *testing.T) {
	engines, routers := slices.Concat(enginesIn("norte", 90), enginesIn("sur", 30)), newRouters(9, "norte", "sur")
	committed := PlacementOwners("s", nil, newRouters(4, "norte", "sur"), engines)
	if slices.Equal(committed, PlacementOwners("s", nil, routers, engines)) {
		t.Fatal("none of the added routers would be preferred to an owner, so the test would prove nothing")
	}
	again := PlacementOwners("s", committed, routers, engines)
	if !slices.Equal(again, committed) {
		t.Errorf("adding routers changed the owners from %v to %v", committed, again)
	}
	removedOwner := committed[0]
	remaining := slices.DeleteFunc(slices.Clone(routers), func(router node.Node) bool { return router.Name == removedOwner.Router })
	newOwners := PlacementOwners("s", committed, remaining, engines)
	if slices.Contains(newOwners, removedOwner) || len(newOwners) != len(committed) {
		t.Errorf("owners without %s = %v", removedOwner.Router, newOwners)
	}
	for _, owner := range committed[1:] {
		if !slices.Contains(newOwners, owner) {
			t.Errorf("owner %s was replaced although its router is active", owner.Router)
		}
	}
}

func TestPlacementOwners_AddressOfTheActiveRouter(t *testing.T) {
	engines, routers := enginesIn("norte", 10), newRouters(1, "norte")
	committed := PlacementOwners("s", nil, routers, engines)
	routers[0].InternalAddress = "elsewhere:1"
	if owners := PlacementOwners("s", committed, routers, engines); owners[0].Address != "elsewhere:1" {
		t.Errorf("owners = %v, want the new address elsewhere:1", owners)
	}
}

func TestPlacementOwners_NoneWithoutNeed(t *testing.T) {
	routers := newRouters(3, "norte")
	if owners := PlacementOwners("s", nil, routers, listedEngines("bbbb")); len(owners) > 0 {
		t.Errorf("engines with both roles: owners = %v, want none", owners)
	}
	if owners := PlacementOwners("s", nil, nil, enginesIn("norte", 30)); len(owners) > 0 {
		t.Errorf("without routers: owners = %v, want none", owners)
	}
}
