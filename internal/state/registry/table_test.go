package registry_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func newTable(now clock.Microseconds, ages ...clock.Microseconds) *registry.Table {
	return newTableForRouter(now, "r0", 1, 0, ages...)
}

// newTableForRouter is the picture of one of so many routers.
func newTableForRouter(now clock.Microseconds, routerName string, routers int, completed int64, ages ...clock.Microseconds) *registry.Table {
	view := registry.NewState().View
	assignment := pairing.Assignment{Service: "s", Parts: map[string]string{}}
	for number := range ages {
		name := fmt.Sprint("e", number)
		view.Engines[name] = registry.Engine{Name: name, Service: "s", Hall: fmt.Sprint("h", number), Incarnation: "1"}
		assignment.Parts[name] = pairing.RoleBoth
	}
	for number := range routers {
		assignment.Routers = append(assignment.Routers, fmt.Sprint("r", number))
	}
	view.Contracts["s"] = assignment
	table := registry.NewTable("s", routerName)
	table.Update(now, view)
	for number, age := range ages {
		table.ApplyReport(now, registry.Report{Name: fmt.Sprint("e", number), Service: "s", Incarnation: "1", Version: "1", Capacity: 8, Age: age, Completed: completed})
	}
	return table
}

func newRequirements(zone string) registry.Requirements {
	return registry.Requirements{Role: pairing.RolePrefill, Zone: zone, Versions: []string{"1"}}
}

// Up to nine routers that share one contract take all the room they can get at engines
// that have all just started: the sum stays within the room of a cold engine, which grows
// only with the work that the engine has done.
func TestSlowStart_LimitsTotalRunsAcrossRouters(t *testing.T) {
	now := 100 * clock.Second
	for routers := 1; routers <= 9; routers++ {
		for _, completed := range []int64{0, 1, 2, 4, 7, 8} {
			sums := map[string]int{}
			for routerIndex := range routers {
				table := newTableForRouter(now, fmt.Sprint("r", routerIndex), routers, completed, 0, 0, 0)
				for range 100 {
					result, _ := table.Pick(now, newRequirements("h0"))
					if result == nil {
						break
					}
					sums[result.Name]++
				}
			}
			limit := 2
			switch {
			case completed >= 8:
				limit = 8 * routers
			case completed >= 4:
				limit = int(completed)
			}
			for name, sum := range sums {
				if sum > limit || routers == 1 && sum < min(limit, 8) {
					t.Errorf("%d routers, %d runs done: %s got %d at once, of %d", routers, completed, name, sum, limit)
				}
			}
			if len(sums) < 3 {
				t.Errorf("%d routers, %d runs done: only %v got work", routers, completed, sums)
			}
		}
	}
	Convey("a router that the contract does not name has no room at a cold engine", t, func() {
		result, eligible := newTableForRouter(now, "stranger", 3, 0, 0).Pick(now, newRequirements("h0"))
		So(result, ShouldBeNil)
		So(eligible, ShouldBeTrue)
		result, _ = newTableForRouter(now, "stranger", 3, 8, 0).Pick(now, newRequirements("h0"))
		So(result, ShouldNotBeNil)
	})
}

func TestPick_PrefersPrefixThenLoadThenZone(t *testing.T) {
	warm := 60 * clock.Second
	now := 100 * clock.Second
	Convey("the own hall first, until it is busier", t, func() {
		table := newTable(now, warm, warm)
		first, _ := table.Pick(now, newRequirements("h1"))
		So(first.Name, ShouldEqual, "e1")
		picks := map[string]int{first.Name: 1}
		for range 7 {
			next, _ := table.Pick(now, newRequirements("h1"))
			picks[next.Name]++
		}
		So(picks["e0"], ShouldBeGreaterThan, 1)
		So(picks["e1"], ShouldBeGreaterThan, picks["e0"])
	})
	Convey("the engine that holds the prefix, though in another hall", t, func() {
		table := newTable(now, warm, warm)
		table.ApplyReport(now, registry.Report{Name: "e0", Service: "s", Incarnation: "1", Version: "1", Capacity: 8, Age: warm, Prefixes: []string{"book"}})
		requirements := newRequirements("h1")
		requirements.Prefix = "book"
		result, _ := table.Pick(now, requirements)
		So(result.Name, ShouldEqual, "e0")
	})
	Convey("never an engine of an evacuated hall, of another version, shunned or avoided", t, func() {
		table := newTable(now, warm, warm)
		table.SetEvacuatedZones([]string{"h1"})
		result, _ := table.Pick(now, newRequirements("h1"))
		So(result.Name, ShouldEqual, "e0")
		table.Eject("e0", now)
		result, eligible := table.Pick(now, newRequirements("h1"))
		So(result, ShouldBeNil)
		So(eligible, ShouldBeFalse)
		table.SetEvacuatedZones(nil)
		other := newRequirements("h1")
		other.Versions = []string{"2"}
		_, eligible = table.Pick(now, other)
		So(eligible, ShouldBeFalse)
		other = newRequirements("h1")
		other.ExcludedEngines = map[string]bool{"e1": true}
		_, eligible = table.Pick(now, other)
		So(eligible, ShouldBeFalse)
	})
}

func TestEjection_EndsWhenEngineAnswers(t *testing.T) {
	Convey("a slow answer ends the shunning of a stalled engine, a mishap does not", t, func() {
		now := 100 * clock.Second
		table := newTable(now, 60*clock.Second)
		for _, answered := range []int{0, 3} {
			result, _ := table.Pick(now, newRequirements("h0"))
			So(result, ShouldNotBeNil)
			table.Eject("e0", now)
			unavailable, eligible := table.Pick(now, newRequirements("h0"))
			So(unavailable, ShouldBeNil)
			So(eligible, ShouldBeFalse)
			result.Done(registry.DoneInfo{ObservedAt: now, Running: answered, Failed: answered == 0})
			_, eligible = table.Pick(now, newRequirements("h0"))
			So(eligible, ShouldEqual, answered > 0)
			now += 2 * clock.Second
		}
	})
}

func TestEstimateWait_ExpiresOldInterval(t *testing.T) {
	Convey("a wait is told from those who wait now and the last turns, and lapses", t, func() {
		now := 100 * clock.Second
		table := newTable(now, 60*clock.Second)
		for range 40 {
			table.Enqueue()
		}
		for turn := range 20 {
			table.RecordAdmission(now+clock.Microseconds(turn)*50*clock.Millisecond, true)
		}
		now += clock.Second
		So(table.EstimateWait(now), ShouldBeBetween, 1900*clock.Millisecond, 2100*clock.Millisecond)
		for range 40 {
			table.Dequeue()
		}
		So(table.EstimateWait(now), ShouldEqual, 0)
		table.Enqueue()
		So(table.EstimateWait(now+3*clock.Second), ShouldEqual, 0)
	})
}
