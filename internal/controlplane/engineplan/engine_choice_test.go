package engineplan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// chooseOneByOne is a simple reference implementation of chooseEngines: it repeatedly chooses the engine with the
// lowest cost among the engines that are left.
func chooseOneByOne(p *Planner, engines []registry.Engine, role string, wanted int) []string {
	var chosen []string
	for len(chosen) < wanted {
		var candidates []registry.Engine
		countByZone := map[string]int{}
		for _, engine := range engines {
			if engine.Role != role && !slices.Contains(chosen, engine.Name) {
				candidates = append(candidates, engine)
				countByZone[engine.Zone]++
			}
		}
		if len(candidates) == 0 {
			break
		}
		cost := func(engine registry.Engine) int { return p.changePenalty(0, &engine) - countByZone[engine.Zone] }
		best := slices.MinFunc(candidates, func(left, right registry.Engine) int {
			return cmp.Or(cmp.Compare(cost(left), cost(right)), cmp.Compare(left.Name, right.Name))
		})
		chosen = append(chosen, best.Name)
	}
	return chosen
}

func TestChooseEngines_ChoosesAsOneByOne(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		planner, engines := NewPlanner(), listedEngines("rrwwbrwrwbrrrw")
		random.Shuffle(len(engines), func(left, right int) { engines[left], engines[right] = engines[right], engines[left] })
		for index := range engines {
			engines[index].Zone = fmt.Sprint("zone-", random.IntN(3))
			engines[index].WarmingUp = random.IntN(4) == 0
			if random.IntN(5) == 0 {
				planner.failures[engines[index].Name] = 0
			}
		}
		for wanted := range len(engines) + 2 {
			chosen := planner.chooseEngines(0, engines, pairing.RolePrefill, wanted)
			if expected := chooseOneByOne(planner, engines, pairing.RolePrefill, wanted); !slices.Equal(chosen, expected) {
				t.Fatalf("seed %d: chose %v, want %v", seed, chosen, expected)
			}
		}
	}
}

// largeGroup returns a group of engines of which one in ten has the prefill role and the others decode.
func largeGroup(count int) []registry.Engine {
	var engines []registry.Engine
	for number := range count {
		role := pairing.RoleDecode
		if number%10 == 0 {
			role = pairing.RolePrefill
		}
		name := fmt.Sprintf("i-%08x", number)
		engines = append(engines, registry.Engine{Name: name, Service: "s", Zone: fmt.Sprint("zone-", number%6), Role: role})
	}
	return engines
}

// rebalance makes a new planner start role changes in a group with too few prefill engines. It returns the names of
// the changing engines.
func rebalance(engines []registry.Engine) []string {
	planner, share := NewPlanner(), PrefillShare{Fraction: 0.5, Known: true}
	planner.Plan(0, "s", engines, share)
	planner.Plan(imbalanceWindow+clock.Second, "s", engines, share)
	return planner.ChangingNames(engines)
}

// A leader plans for all engines every second. The cost of a plan may grow with the number of engines, but not with
// the number of engines times the number of changes.
func TestPlan_LargeGroup(t *testing.T) {
	const count = 3000
	engines := largeGroup(count)
	if changing := len(rebalance(engines)); changing != count/concurrentChangeDivisor {
		t.Errorf("%d engines are changing, want %d", changing, count/concurrentChangeDivisor)
	}
	allocations := testing.AllocsPerRun(1, func() { rebalance(engines) })
	if allocations > count*2/3 {
		t.Errorf("%.0f allocations, want at most %d", allocations, count*2/3)
	}
}

func BenchmarkPlan_LargeGroup(b *testing.B) {
	engines := largeGroup(3000)
	for b.Loop() {
		rebalance(engines)
	}
}
