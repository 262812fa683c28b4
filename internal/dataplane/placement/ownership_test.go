package placement_test

import (
	"fmt"
	"testing"

	"coursepass/internal/dataplane/placement"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

var testZones = []string{"centro", "norte", "sur"}

// newOwners returns perZone owners in each of the zones.
func newOwners(perZone int, zones ...string) []pairing.PlacementOwner {
	var owners []pairing.PlacementOwner
	for _, zone := range zones {
		for number := range perZone {
			name := fmt.Sprintf("router-%s-%d", zone, number)
			owners = append(owners, pairing.PlacementOwner{Router: name, Address: name + ":1", Zone: zone})
		}
	}
	return owners
}

// newEngines returns engines in the three zones. Two fifths of them are prefill engines, the rest decode
// engines.
func newEngines(count int) []platformport.Engine {
	var engines []platformport.Engine
	for number := range count {
		role := pairing.RoleDecode
		if number/len(testZones)%5 < 2 {
			role = pairing.RolePrefill
		}
		engines = append(engines, platformport.Engine{
			Incarnation: fmt.Sprintf("engine-%d", number),
			Zone:        testZones[number%len(testZones)],
			Role:        role,
		})
	}
	return engines
}

// ownerByEngine returns the name of each engine's owner, by incarnation. It fails the test if an engine has two
// owners.
func ownerByEngine(t *testing.T, ownership *placement.Ownership, owners []pairing.PlacementOwner) map[string]string {
	t.Helper()
	ownerOf := map[string]string{}
	for _, owner := range owners {
		for _, engine := range ownership.EnginesOf(owner.Router) {
			if other, owned := ownerOf[engine.Incarnation]; owned {
				t.Fatalf("%s has two owners, %s and %s", engine.Incarnation, other, owner.Router)
			}
			ownerOf[engine.Incarnation] = owner.Router
		}
	}
	return ownerOf
}

func TestOwnership_DividesEnginesOfAZoneEqually(t *testing.T) {
	for _, testCase := range []struct {
		name              string
		owners            []pairing.PlacementOwner
		engines           int
		smallest, largest int
	}{
		{"one owner has all", newOwners(1, "norte"), 12, 12, 12},
		{"one owner for each zone", newOwners(1, testZones...), 90, 30, 30},
		{"two owners for each zone", newOwners(2, testZones...), 90, 14, 16},
		{"engines of a zone without an owner go to the others", newOwners(1, "norte", "sur"), 90, 44, 46},
		{"fewer engines than owners", newOwners(2, testZones...), 3, 0, 1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			ownership := placement.NewOwnership(testCase.owners, newEngines(testCase.engines))
			ownerOf := ownerByEngine(t, ownership, testCase.owners)
			if len(ownerOf) != testCase.engines {
				t.Fatalf("%d of %d engines have an owner, want all", len(ownerOf), testCase.engines)
			}
			for _, owner := range testCase.owners {
				count := len(ownership.EnginesOf(owner.Router))
				if count < testCase.smallest || count > testCase.largest {
					t.Errorf("%s has %d engines, want %d to %d", owner.Router, count, testCase.smallest, testCase.largest)
				}
			}
		})
	}
}

func TestOwnership_FewEnginesMoveWhenOneLeaves(t *testing.T) {
	owners, engines := newOwners(3, testZones...), newEngines(180)
	before := ownerByEngine(t, placement.NewOwnership(owners, engines), owners)
	after := ownerByEngine(t, placement.NewOwnership(owners, engines[1:]), owners)
	moved := 0
	for engine, owner := range after {
		if before[engine] != owner {
			moved++
		}
	}
	if moved > 12 {
		t.Errorf("after the removal of one engine, %d of 180 engines have another owner, want at most 12", moved)
	}
}

// longPrompt returns a prompt with a shared prefix of 6000 tokens.
func longPrompt(prefix int) []platformport.PromptChunk {
	return []platformport.PromptChunk{{Name: fmt.Sprint("prefix-", prefix), Tokens: 6000}, {Name: "own", Tokens: 500}}
}

// shortPrompt has a shared prefix of only 100 tokens.
var shortPrompt = []platformport.PromptChunk{{Name: "greeting", Tokens: 100}, {Name: "own", Tokens: 500}}

func TestOwnerFor_SamePrefixSameOwnerInAllZones(t *testing.T) {
	owners := newOwners(2, testZones...)
	ownership := placement.NewOwnership(owners, newEngines(180))
	counts := map[string]int{}
	for prefix := range 1200 {
		first, ok := ownership.OwnerFor(testZones[0], "one", longPrompt(prefix))
		if !ok {
			t.Fatalf("prefix %d has no owner", prefix)
		}
		counts[first.Router]++
		for _, zone := range testZones {
			if other, _ := ownership.OwnerFor(zone, zone, longPrompt(prefix)); other != first {
				t.Fatalf("prefix %d has different owners, %s and %s", prefix, first.Router, other.Router)
			}
		}
	}
	for _, owner := range owners {
		if count := counts[owner.Router]; count < 150 || count > 250 {
			t.Errorf("%s has %d of 1200 prefixes, want 150 to 250", owner.Router, count)
		}
	}
}

func TestOwnerFor_ShortPrefixOwnZone(t *testing.T) {
	ownership := placement.NewOwnership(newOwners(2, testZones...), newEngines(180))
	for number := range 100 {
		for _, zone := range testZones {
			owner, ok := ownership.OwnerFor(zone, fmt.Sprint(number), shortPrompt)
			if !ok || owner.Zone != zone {
				t.Fatalf("a request of zone %s has the owner %+v, want one of its zone", zone, owner)
			}
		}
	}
}

func TestOwnerFor_NoneWithoutOwnersOrEngines(t *testing.T) {
	for name, ownership := range map[string]*placement.Ownership{
		"no owners":  placement.NewOwnership(nil, newEngines(30)),
		"no engines": placement.NewOwnership(newOwners(1, testZones...), nil),
	} {
		if owner, ok := ownership.OwnerFor("norte", "one", shortPrompt); ok {
			t.Errorf("%s: got owner %+v, want none", name, owner)
		}
	}
}
