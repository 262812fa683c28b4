package controlplane

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// listedEngines are engines in two halls in turn with these parts: r, w or b.
func listedEngines(pattern string) []registry.Engine {
	roleByLetter := map[rune]string{'r': pairing.RolePrefill, 'w': pairing.RoleDecode, 'b': pairing.RoleBoth}
	var engines []registry.Engine
	for number, role := range pattern {
		name := fmt.Sprint("e", number)
		engines = append(engines, registry.Engine{Name: name, Incarnation: name, Service: "s", Hall: []string{"norte", "sur"}[number%2], Part: roleByLetter[role], Weights: 1})
	}
	return engines
}

func enginesByName(engines []registry.Engine) map[string]registry.Engine {
	engineMap := map[string]registry.Engine{}
	for _, engine := range engines {
		engineMap[engine.Name] = engine
	}
	return engineMap
}

func TestMissingEngines_OneListingRemovesNothing(t *testing.T) {
	Convey("a life is dropped once two successive lists lack it", t, func() {
		engines := listedEngines("rw")
		registered, completeList, partialList := enginesByName(engines), engines, engines[:1]
		missing, now := missingEngines{}, clock.Second
		reconcile := func(listed []registry.Engine) int {
			now += clock.Second
			return len(missing.reconcile(now, listed, registered))
		}
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(partialList), ShouldEqual, 2)
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(partialList), ShouldEqual, 2)
		So(reconcile(partialList), ShouldEqual, 1)
		// The drop was not committed: it is still proved.
		So(reconcile(partialList), ShouldEqual, 1)
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(nil), ShouldEqual, 2)
		So(reconcile(nil), ShouldEqual, 0)
	})
	Convey("two lists of one moment are one", t, func() {
		engines := listedEngines("r")
		missing, now := missingEngines{}, clock.Second
		for range 3 {
			So(missing.reconcile(now, nil, enginesByName(engines)), ShouldHaveLength, 1)
			now += minMissingInterval / 3
		}
		So(missing.reconcile(now, nil, enginesByName(engines)), ShouldBeEmpty)
	})
}

func TestDirectorySync_ExcludesUnschedulableEngines(t *testing.T) {
	Convey("neither leaving nor evacuated engines nor those of other services or weights are paired", t, func() {
		engines := listedEngines("rwrwrw")
		engines[2].Leaving = true
		engines[4].Weights = 2
		engines[5].Service = "other"
		view := registry.NewState().View
		view.Engines = enginesByName(engines)
		planner := newRoleChangePlanner()
		assignment := pairing.AssignPairs("s", "here", 7, planner.candidates(schedulableEngines("s", view, (&config.View{}).IsEvacuated)))
		So(assignment.Parts, ShouldResemble, map[string]string{"e0": pairing.RolePrefill, "e1": pairing.RoleDecode, "e3": pairing.RoleDecode, "e4": pairing.RolePrefill})
		So(assignment.Pairs, ShouldResemble, []pairing.Pair{{Prefill: "e0", Decode: "e1", Weight: 1}, {Prefill: "e0", Decode: "e3", Weight: 1}})
		assignment = pairing.AssignPairs("s", "here", 7, planner.candidates(schedulableEngines("s", view, (&config.View{Evacuated: []string{"sur"}}).IsEvacuated)))
		So(assignment.Parts, ShouldResemble, map[string]string{"e0": pairing.RolePrefill, "e4": pairing.RolePrefill})
		So(assignment.Pairs, ShouldBeEmpty)
	})
	Convey("a new set of routers is signed once it has stood for two seconds", t, func() {
		committed, routerSet := pairing.Assignment{Owner: "here", Routers: []string{"a"}}, stabilityTimer{}
		for _, testCase := range []struct {
			second  clock.Microseconds
			routers []string
			want    []string
		}{{1, []string{"a", "b"}, []string{"a"}}, {2, []string{"a"}, []string{"a"}}, {3, []string{"a", "c"}, []string{"a"}}, {4, []string{"a", "c"}, []string{"a"}}, {5, []string{"a", "c"}, []string{"a", "c"}}} {
			routersStable := routerSet.unchangedFor(testCase.second*clock.Second, testCase.routers...) >= routerStabilizationWindow
			So(assignedRouters(committed, testCase.routers, routersStable), ShouldResemble, testCase.want)
		}
		So(assignedRouters(pairing.Assignment{}, []string{"b"}, false), ShouldResemble, []string{"b"})
	})
}

// plannerScenario plays the turns of a leader by a virtual time. The signed contract follows the
// drawn one by a turn.
type plannerScenario struct {
	roleChangePlanner
	now       clock.Microseconds
	live      []registry.Engine
	committed pairing.Assignment
	commands  []string
}

func (p *plannerScenario) run(count int) {
	for range count {
		p.now += clock.Second
		p.plan(p.now, "s", p.live, 0, false)
		for _, command := range p.readyCommands(p.now, p.live, p.committed) {
			p.commands = append(p.commands, command.Name+" "+command.Part)
		}
		p.committed = pairing.AssignPairs("s", "here", 1, p.candidates(p.live))
	}
}

func newPlannerScenario(pattern string) *plannerScenario {
	return &plannerScenario{roleChangePlanner: newRoleChangePlanner(), now: 100 * clock.Second, live: listedEngines(pattern)}
}

func TestRoleChangePlanner_CommandsOnlyMissingRoles(t *testing.T) {
	Convey("no orders where both parts are played, or by one engine only, or by engines that play both", t, func() {
		for _, pattern := range []string{"rw", "wr", "rwww", "rrrw", "b", "r", "w", "wb", "bb", ""} {
			scenario := newPlannerScenario(pattern)
			scenario.run(60)
			So(scenario.commands, ShouldBeEmpty)
			So(len(scenario.committed.Parts), ShouldEqual, len(pattern))
		}
	})
	Convey("out of the contract, ordered, and back once the list shows the new part", t, func() {
		for _, testCase := range []struct{ pattern, command string }{{"wwww", "e0 prefill"}, {"rrr", "e0 decode"}, {"www", "e0 prefill"}, {"wwwww", "e0 prefill"}} {
			scenario := newPlannerScenario(testCase.pattern)
			for len(scenario.committed.Parts) != len(testCase.pattern)-1 {
				scenario.run(1)
			}
			removedAt := scenario.now
			So(scenario.commands, ShouldBeEmpty)
			for len(scenario.commands) == 0 {
				scenario.run(1)
			}
			So(scenario.now-removedAt, ShouldBeGreaterThanOrEqualTo, roleChangeDelay)
			So(scenario.commands, ShouldResemble, []string{testCase.command})
			So(scenario.committed.Parts, ShouldNotContainKey, "e0")
			scenario.live[0].Part = map[byte]string{'w': pairing.RolePrefill, 'r': pairing.RoleDecode}[testCase.pattern[0]]
			scenario.run(1)
			So(scenario.committed.Parts, ShouldContainKey, "e0")
			scenario.run(60)
			So(scenario.commands, ShouldHaveLength, 1)
		}
	})
	Convey("a lack that ends before the order has nothing ordered", t, func() {
		scenario := newPlannerScenario("www")
		scenario.run(7)
		So(scenario.committed.Parts, ShouldNotContainKey, "e0")
		scenario.live[2].Part = pairing.RolePrefill
		scenario.run(60)
		So(scenario.commands, ShouldBeEmpty)
		So(scenario.committed.Parts, ShouldContainKey, "e0")
	})
	Convey("an engine that vanishes while it changes has no second one ordered", t, func() {
		scenario := newPlannerScenario("rrr")
		for len(scenario.commands) == 0 {
			scenario.run(1)
		}
		allEngines := slices.Clone(scenario.live)
		scenario.live = allEngines[1:]
		scenario.run(8)
		allEngines[0].Part = pairing.RoleDecode
		scenario.live = allEngines
		scenario.run(60)
		So(scenario.commands, ShouldResemble, []string{"e0 decode"})
		So(scenario.committed.Parts, ShouldContainKey, "e0")
	})
	Convey("one that does not move is told again seldom, and then another is tried", t, func() {
		scenario := newPlannerScenario("rrr")
		for !slices.Contains(scenario.commands, "e2 decode") {
			scenario.run(1)
		}
		So(slices.Compact(slices.Clone(scenario.commands)), ShouldResemble, []string{"e0 decode", "e2 decode"})
		So(len(scenario.commands), ShouldBeLessThanOrEqualTo, 8)
	})
	Convey("the warm are moved first, and in the hall that has most", t, func() {
		engines := listedEngines("wwwww")
		planner := newRoleChangePlanner()
		So(planner.chooseEngine(0, engines, pairing.RolePrefill), ShouldEqual, "e0")
		engines[0].Cold = true
		So(planner.chooseEngine(0, engines, pairing.RolePrefill), ShouldEqual, "e2")
		engines[0].Hall, engines[2].Hall = "sur", "sur"
		So(planner.chooseEngine(0, engines, pairing.RolePrefill), ShouldEqual, "e1")
	})
	Convey("a load that leans for long moves one, if anybody tells it", t, func() {
		planner, now := newRoleChangePlanner(), clock.Second
		engines := listedEngines("rrwwww")
		changeStart := clock.Microseconds(0)
		for ; len(planner.pending) == 0 && now < 60*clock.Second; now += clock.Second {
			planner.plan(now, "s", engines, 0.8, true)
			changeStart = now
		}
		So(changeStart, ShouldBeGreaterThanOrEqualTo, clock.Second+imbalanceWindow)
		So(planner.pending["s/1"][0].role, ShouldEqual, pairing.RolePrefill)
	})
}
