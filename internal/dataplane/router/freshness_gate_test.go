package router_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
)

// Three cores of which a majority knows an acknowledged sequence 2; any one may be
// away, or not current, or behind; answers arrive in every order. An open gate always
// means that sequence 2 is installed or that the read began before it.
func TestFreshnessGate_OpenHasAcknowledgedRevision(t *testing.T) {
	opened, closed := 0, 0
	for informed := range 8 {
		if count := informed&1 + informed>>1&1 + informed>>2&1; count < 2 {
			continue
		}
		for current := range 8 {
			for installed := uint64(1); installed <= 2; installed++ {
				simulation.Permutations(3, func(order []int) {
					gate := router.NewFreshnessGate(1600*clock.Millisecond, 1, 3)
					var responses []controlapi.HeadsResponse
					for _, slot := range order {
						head := controlapi.ShardHead{Slot: slot, Head: gossip.Head{Sequence: 1}, Current: current>>slot&1 > 0}
						if informed>>slot&1 > 0 {
							head.Sequence = 2
						}
						responses = append(responses, controlapi.HeadsResponse{Parts: []controlapi.ShardHead{head}})
						gate.RecordRead(clock.Second, responses)
					}
					open := gate.IsOpen(clock.Second, func(int) (uint64, bool) { return installed, true })
					if open && installed < 2 {
						t.Fatalf("knows %03b, current %03b, order %v: open with sequence %d", informed, current, order, installed)
					}
					if open {
						opened++
					} else {
						closed++
					}
				})
			}
		}
	}
	Convey("both happened", t, func() {
		So(opened, ShouldBeGreaterThan, 0)
		So(closed, ShouldBeGreaterThan, 0)
	})
}

func TestFreshnessGate_ClosesWithoutFreshReads(t *testing.T) {
	Convey("the same core heard twice is no majority, and a met read lapses", t, func() {
		gate := router.NewFreshnessGate(1600*clock.Millisecond, 1, 3)
		head := func(slot int) controlapi.HeadsResponse {
			return controlapi.HeadsResponse{Parts: []controlapi.ShardHead{{Slot: slot, Current: true}}}
		}
		installed := func(int) (uint64, bool) { return 0, false }
		So(gate.RecordRead(clock.Second, []controlapi.HeadsResponse{head(1), head(1)}), ShouldBeFalse)
		So(gate.IsOpen(clock.Second, installed), ShouldBeFalse)
		So(gate.RecordRead(clock.Second, []controlapi.HeadsResponse{head(1), head(2)}), ShouldBeTrue)
		So(gate.IsOpen(clock.Second, installed), ShouldBeTrue)
		So(gate.IsOpen(2600*clock.Millisecond, installed), ShouldBeTrue)
		So(gate.IsOpen(2600*clock.Millisecond+1, installed), ShouldBeFalse)
	})
}
