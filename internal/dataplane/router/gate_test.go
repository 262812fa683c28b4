package router_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
)

// Three cores of which a majority knows an acknowledged sequence 2; any one may be
// away, or not current, or behind; answers arrive in every order. An open gate always
// means that sequence 2 is installed or that the read began before it.
func TestAnOpenGateHasWhatWasAcknowledged(test *testing.T) {
	opened, shut := 0, 0
	for knows := range 8 {
		if count := knows&1 + knows>>1&1 + knows>>2&1; count < 2 {
			continue
		}
		for current := range 8 {
			for installed := uint64(1); installed <= 2; installed++ {
				simulation.Orders(3, func(order []int) {
					gate := router.NewGate(1600*schedule.Millisecond, 1, 3)
					var answers []core.HeadsAnswer
					for _, slot := range order {
						head := core.PartHead{Slot: slot, Head: news.Head{Sequence: 1}, Current: current>>slot&1 > 0}
						if knows>>slot&1 > 0 {
							head.Sequence = 2
						}
						answers = append(answers, core.HeadsAnswer{Parts: []core.PartHead{head}})
						gate.Read(schedule.Second, answers)
					}
					open := gate.Open(schedule.Second, func(int) (uint64, bool) { return installed, true })
					if open && installed < 2 {
						test.Fatalf("knows %03b, current %03b, order %v: open with sequence %d", knows, current, order, installed)
					}
					if open {
						opened++
					} else {
						shut++
					}
				})
			}
		}
	}
	Convey("both happened", test, func() {
		So(opened, ShouldBeGreaterThan, 0)
		So(shut, ShouldBeGreaterThan, 0)
	})
}

func TestAGateShutsWithoutFreshReads(test *testing.T) {
	Convey("the same core heard twice is no majority, and a met read lapses", test, func() {
		gate := router.NewGate(1600*schedule.Millisecond, 1, 3)
		head := func(slot int) core.HeadsAnswer {
			return core.HeadsAnswer{Parts: []core.PartHead{{Slot: slot, Current: true}}}
		}
		have := func(int) (uint64, bool) { return 0, false }
		So(gate.Read(schedule.Second, []core.HeadsAnswer{head(1), head(1)}), ShouldBeFalse)
		So(gate.Open(schedule.Second, have), ShouldBeFalse)
		So(gate.Read(schedule.Second, []core.HeadsAnswer{head(1), head(2)}), ShouldBeTrue)
		So(gate.Open(schedule.Second, have), ShouldBeTrue)
		So(gate.Open(2600*schedule.Millisecond, have), ShouldBeTrue)
		So(gate.Open(2600*schedule.Millisecond+1, have), ShouldBeFalse)
	})
}
