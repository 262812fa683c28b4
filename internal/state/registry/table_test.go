package registry_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// tableOptions are the options for the table of one of routerCount routers r0, r1 … that share the
// engines e0, e1 … in the zones h0, h1 …. There is one engine for each age. Each engine has
// completed the given number of runs.
type tableOptions struct {
	routerName  string
	routerCount int
	completed   int64
	ages        []clock.Microseconds
}

func newTable(now clock.Microseconds, ages ...clock.Microseconds) *registry.Table {
	return newTableWith(now, tableOptions{routerName: "r0", routerCount: 1, ages: ages})
}

func newTableWith(now clock.Microseconds, options tableOptions) *registry.Table {
	view := registry.NewState().View
	assignment := pairing.Assignment{Service: "s", Roles: map[string]string{}}
	for number := range options.ages {
		name := fmt.Sprint("e", number)
		view.Engines[name] = registry.Engine{Name: name, Service: "s", Zone: fmt.Sprint("h", number), Incarnation: "1"}
		assignment.Roles[name] = pairing.RoleBoth
	}
	for number := range options.routerCount {
		assignment.Routers = append(assignment.Routers, fmt.Sprint("r", number))
	}
	view.Assignments["s"] = assignment
	table := registry.NewTable("s", options.routerName)
	table.Update(view)
	for number, age := range options.ages {
		report := newReport(fmt.Sprint("e", number), age)
		report.Completed = options.completed
		table.ApplyReport(now, report)
	}
	return table
}

func newReport(name string, age clock.Microseconds) registry.Report {
	return registry.Report{Name: name, Service: "s", Incarnation: "1", Version: "1", Capacity: 8, Age: age}
}

func newRequirements(zone string) registry.Requirements {
	return registry.Requirements{Role: pairing.RolePrefill, Zone: zone, Versions: []string{"1"}}
}

// pickUntilFull lets each router pick engines until none admits another run, and returns the number
// of runs by engine. The three engines have just started and have completed the given number of runs.
func pickUntilFull(now clock.Microseconds, routerCount int, completed int64) map[string]int {
	runs := map[string]int{}
	for routerIndex := range routerCount {
		table := newTableWith(now, tableOptions{
			routerName:  fmt.Sprint("r", routerIndex),
			routerCount: routerCount,
			completed:   completed,
			ages:        []clock.Microseconds{0, 0, 0},
		})
		for range 100 {
			result, _ := table.Pick(now, newRequirements("h0"))
			if result == nil {
				break
			}
			runs[result.Name]++
		}
	}
	return runs
}

// Up to nine routers with one assignment start as many runs as they can at engines that have just
// started. The total number of runs at an engine that is warming up must stay within its capacity,
// which grows only with the number of completed runs.
func TestSlowStart_LimitsTotalRunsAcrossRouters(t *testing.T) {
	now := 100 * clock.Second
	for routers := 1; routers <= 9; routers++ {
		for _, completed := range []int64{0, 1, 2, 4, 7, 8} {
			sums := pickUntilFull(now, routers, completed)
			limit := 2
			switch {
			case completed >= 8:
				limit = 8 * routers
			case completed >= 4:
				limit = int(completed)
			}
			for name, sum := range sums {
				if sum > limit || routers == 1 && sum < min(limit, 8) {
					t.Errorf("%d routers, %d runs completed: %s got %d runs, limit %d", routers, completed, name, sum, limit)
				}
			}
			if len(sums) < 3 {
				t.Errorf("%d routers, %d runs completed: runs by engine are %v, want three engines", routers, completed, sums)
			}
		}
	}
	Convey("a router that the assignment does not name has no capacity at an engine that is warming up", t, func() {
		options := tableOptions{routerName: "unassigned", routerCount: 3, ages: []clock.Microseconds{0}}
		result, eligible := newTableWith(now, options).Pick(now, newRequirements("h0"))
		So(result, ShouldBeNil)
		So(eligible, ShouldBeTrue)
		options.completed = 8
		result, _ = newTableWith(now, options).Pick(now, newRequirements("h0"))
		So(result, ShouldNotBeNil)
	})
}

func TestPick_PrefersPrefixThenLoadThenZone(t *testing.T) {
	warmAge := 60 * clock.Second
	now := 100 * clock.Second
	Convey("an engine in the request's zone is preferred until it is busier", t, func() {
		table := newTable(now, warmAge, warmAge)
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
	Convey("an engine with the prefix is preferred, even in another zone", t, func() {
		table := newTable(now, warmAge, warmAge)
		report := newReport("e0", warmAge)
		report.Prefixes = []string{"book"}
		table.ApplyReport(now, report)
		requirements := newRequirements("h1")
		requirements.Prefix = "book"
		result, _ := table.Pick(now, requirements)
		So(result.Name, ShouldEqual, "e0")
	})
	Convey("engines that are in an evacuated zone, of another version, ejected or excluded are not eligible", t, func() {
		table := newTable(now, warmAge, warmAge)
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
	Convey("a slow answer ends the ejection of a stalled engine, a failure does not", t, func() {
		now := 100 * clock.Second
		table := newTable(now, 60*clock.Second)
		for _, running := range []int{0, 3} {
			result, _ := table.Pick(now, newRequirements("h0"))
			So(result, ShouldNotBeNil)
			table.Eject("e0", now)
			unavailable, eligible := table.Pick(now, newRequirements("h0"))
			So(unavailable, ShouldBeNil)
			So(eligible, ShouldBeFalse)
			result.Done(registry.DoneInfo{ObservedAt: now, Running: running, Failed: running == 0})
			_, eligible = table.Pick(now, newRequirements("h0"))
			So(eligible, ShouldEqual, running > 0)
			now += 2 * clock.Second
		}
	})
}

func TestEstimateWait_ExpiresOldInterval(t *testing.T) {
	Convey("the estimate follows the queue length and the recent intervals, which expire", t, func() {
		now := 100 * clock.Second
		table := newTable(now, 60*clock.Second)
		for range 40 {
			table.Enqueue()
		}
		for admission := range 20 {
			table.RecordAdmission(now+clock.Microseconds(admission)*50*clock.Millisecond, true)
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

// An engine that was selected may leave service before its call is sent. The table must show that, whichever way the
// engine leaves.
func TestTable_InServiceUntilEngineLeaves(t *testing.T) {
	selected := registry.Engine{Name: "e0", Incarnation: "1"}
	viewWith := func(engine registry.Engine, role string) registry.View {
		view := registry.NewState().View
		view.Engines[engine.Name] = engine
		view.Assignments["s"] = pairing.Assignment{Service: "s", Roles: map[string]string{engine.Name: role}}
		return view
	}
	listed := registry.Engine{Name: "e0", Service: "s", Zone: "h0", Incarnation: "1"}
	draining, restarted := listed, listed
	draining.Draining = true
	restarted.Incarnation = "2"
	for name, leave := range map[string]func(*registry.Table){
		"draining":    func(table *registry.Table) { table.Update(viewWith(draining, pairing.RoleBoth)) },
		"restarted":   func(table *registry.Table) { table.Update(viewWith(restarted, pairing.RoleBoth)) },
		"gone":        func(table *registry.Table) { table.Update(viewWith(registry.Engine{Name: "e9"}, pairing.RoleBoth)) },
		"other role":  func(table *registry.Table) { table.Update(viewWith(listed, pairing.RolePrefill)) },
		"no role":     func(table *registry.Table) { table.Update(viewWith(listed, "")) },
		"zone closed": func(table *registry.Table) { table.SetEvacuatedZones([]string{"h0"}) },
	} {
		Convey(name, t, func() {
			table := newTable(clock.Second, clock.Second)
			So(table.InService(selected, pairing.RoleDecode), ShouldBeTrue)
			leave(table)
			So(table.InService(selected, pairing.RoleDecode), ShouldBeFalse)
		})
	}
}
