package engineplan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func TestAssignment_ExcludesUnschedulableEngines(t *testing.T) {
	Convey("draining or evacuated engines, and those of another service or model version, are not paired", t, func() {
		engines := listedEngines("rwrwrw")
		engines[2].Draining = true
		engines[4].Weights = 2
		engines[5].Service = "other"
		view := registry.NewState().View
		view.Engines = enginesByName(engines)
		planner := NewPlanner()
		live := SchedulableEngines("s", view, (&config.View{}).IsEvacuated)
		assignment := pairing.AssignPairs("s", "here", 7, planner.Candidates(live))
		So(assignment.Roles, ShouldResemble, map[string]string{
			"e0": pairing.RolePrefill,
			"e1": pairing.RoleDecode,
			"e3": pairing.RoleDecode,
			"e4": pairing.RolePrefill,
		})
		So(assignment.Pairs, ShouldResemble, []pairing.Pair{
			{Prefill: "e0", Decode: "e1", Weight: 1},
			{Prefill: "e0", Decode: "e3", Weight: 1},
		})
		live = SchedulableEngines("s", view, (&config.View{Evacuated: []string{"sur"}}).IsEvacuated)
		assignment = pairing.AssignPairs("s", "here", 7, planner.Candidates(live))
		So(assignment.Roles, ShouldResemble, map[string]string{"e0": pairing.RolePrefill, "e4": pairing.RolePrefill})
		So(assignment.Pairs, ShouldBeEmpty)
	})
	Convey("a new set of routers is assigned once it has been stable for two seconds", t, func() {
		committed, routerSet := pairing.Assignment{Owner: "here", Routers: []string{"a"}}, StabilityTimer{}
		for _, testCase := range []struct {
			second  clock.Microseconds
			routers []string
			want    []string
		}{
			{1, []string{"a", "b"}, []string{"a"}},
			{2, []string{"a"}, []string{"a"}},
			{3, []string{"a", "c"}, []string{"a"}},
			{4, []string{"a", "c"}, []string{"a"}},
			{5, []string{"a", "c"}, []string{"a", "c"}},
		} {
			unchangedFor := routerSet.UnchangedFor(testCase.second*clock.Second, testCase.routers...)
			routersStable := unchangedFor >= RouterStabilizationWindow
			So(AssignedRouters(committed, testCase.routers, routersStable), ShouldResemble, testCase.want)
		}
		So(AssignedRouters(pairing.Assignment{}, []string{"b"}, false), ShouldResemble, []string{"b"})
	})
}
