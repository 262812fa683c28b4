package controlplane

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func TestWorkloadEstimate_PrefillFraction(t *testing.T) {
	Convey("is the usual one until enough is told, and none if none is usual", t, func() {
		prefillFraction, reported := (&workloadEstimate{}).prefillFraction(60)
		So(prefillFraction, ShouldEqual, 0.6)
		So(reported, ShouldBeTrue)
		_, reported = (&workloadEstimate{}).prefillFraction(0)
		So(reported, ShouldBeFalse)
		prefillHeavy := &workloadEstimate{prefill: float64(9 * clock.Second), decode: float64(3 * clock.Second)}
		prefillFraction, reported = prefillHeavy.prefillFraction(60)
		So(prefillFraction, ShouldEqual, 0.75)
		So(reported, ShouldBeTrue)
	})
}

func TestRoleChangePlanner_LargeGroupMovesHalfwayAtOnce(t *testing.T) {
	startedChanges := func(count, prefillCount int) int {
		planner, now := newRoleChangePlanner(), clock.Second
		var engines []registry.Engine
		for number := range count {
			role := pairing.RoleDecode
			if number < prefillCount {
				role = pairing.RolePrefill
			}
			engines = append(engines, registry.Engine{Name: fmt.Sprint("e", number), Service: "s", Part: role, Weights: 1})
		}
		for ; len(planner.pending) == 0 && now < 20*clock.Second; now += clock.Second {
			planner.plan(now, "s", engines, 0.67, true)
		}
		return len(planner.pending["s/1"])
	}
	Convey("but no more than a sixth of it, and a small one an engine", t, func() {
		So(startedChanges(140, 52), ShouldEqual, 20)
		So(startedChanges(140, 20), ShouldEqual, 140/concurrentChangeDivisor)
		So(startedChanges(12, 5), ShouldEqual, 1)
	})
}
