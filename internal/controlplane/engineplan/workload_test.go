package engineplan

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func TestWorkloadEstimate_PrefillFraction(t *testing.T) {
	Convey("the share is the default until enough work is recorded, and unknown without a default", t, func() {
		share := (&workloadEstimate{}).prefillShare(60)
		So(share.Fraction, ShouldEqual, 0.6)
		So(share.Known, ShouldBeTrue)
		share = (&workloadEstimate{}).prefillShare(0)
		So(share.Known, ShouldBeFalse)
		prefillHeavy := &workloadEstimate{prefill: float64(9 * clock.Second), decode: float64(3 * clock.Second)}
		share = prefillHeavy.prefillShare(60)
		So(share.Fraction, ShouldEqual, 0.75)
		So(share.Known, ShouldBeTrue)
	})
}

func TestPlanner_LargeGroupMovesHalfwayAtOnce(t *testing.T) {
	startedChanges := func(count, prefillCount int) int {
		planner, now := NewPlanner(), clock.Second
		var engines []registry.Engine
		for number := range count {
			role := pairing.RoleDecode
			if number < prefillCount {
				role = pairing.RolePrefill
			}
			engines = append(engines, registry.Engine{Name: fmt.Sprint("e", number), Service: "s", Role: role, Weights: 1})
		}
		for ; len(planner.pending) == 0 && now < 20*clock.Second; now += clock.Second {
			planner.Plan(now, "s", engines, PrefillShare{Fraction: 0.67, Known: true})
		}
		return len(planner.pending["s/1"])
	}
	Convey("half of the difference is changed at once, up to a sixth of the group, but at least one engine", t, func() {
		So(startedChanges(140, 52), ShouldEqual, 20)
		So(startedChanges(140, 20), ShouldEqual, 140/concurrentChangeDivisor)
		So(startedChanges(12, 5), ShouldEqual, 1)
	})
}
