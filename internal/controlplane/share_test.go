package core

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func TestTheShareOfReading(test *testing.T) {
	Convey("is the usual one until enough is told, and none if none is usual", test, func() {
		fraction, told := (&scale{}).fraction(60)
		So(fraction, ShouldEqual, 0.6)
		So(told, ShouldBeTrue)
		_, told = (&scale{}).fraction(0)
		So(told, ShouldBeFalse)
		heavy := &scale{read: float64(9 * schedule.Second), made: float64(3 * schedule.Second)}
		fraction, told = heavy.fraction(60)
		So(fraction, ShouldEqual, 0.75)
		So(told, ShouldBeTrue)
	})
}

func TestALargeGroupGoesHalfOfTheWayAtOnce(test *testing.T) {
	begun := func(count, readers int) int {
		moves, now := newMoves(), schedule.Second
		var engines []catalogue.Engine
		for number := range count {
			part := contract.Decode
			if number < readers {
				part = contract.Prefill
			}
			engines = append(engines, catalogue.Engine{Name: fmt.Sprint("e", number), Service: "s", Part: part, Weights: 1})
		}
		for ; len(moves.groups) == 0 && now < 20*schedule.Second; now += schedule.Second {
			moves.plan(now, "s", engines, 0.67, true)
		}
		return len(moves.groups["s/1"])
	}
	Convey("but no more than a sixth of it, and a small one an engine", test, func() {
		So(begun(140, 52), ShouldEqual, 20)
		So(begun(140, 20), ShouldEqual, 140/mostMoving)
		So(begun(12, 5), ShouldEqual, 1)
	})
}
