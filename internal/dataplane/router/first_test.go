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

func firstHead(slot int, sequence uint64, current bool) core.PartHead {
	return core.PartHead{Slot: slot, Current: current, Head: news.Head{Sequence: sequence}}
}

// A majority of three knows sequence 2. One core is cut off or has just restarted, and may
// show anything older as if it were current. Whatever is heard in whichever order, the first
// configuration of a life is not sequence 1 while a majority answers that is current.
func TestTheFirstConfigurationHasWhatWasAcknowledged(test *testing.T) {
	taken, waited := 0, 0
	for stale := range 3 {
		simulation.Orders(3, func(order []int) {
			for held := uint64(1); held <= 2; held++ {
				first := router.NewFirst(0, 3)
				now := schedule.Microseconds(0)
				for _, slot := range order {
					now += 60 * schedule.Millisecond
					sequence := uint64(2)
					if slot == stale {
						sequence = 1
					}
					first.Hear(now, firstHead(slot, sequence, true))
					basis := first.Take(now, held)
					if basis != router.Unconfirmed && held < 2 {
						test.Fatalf("stale %d, order %v: sequence %d was taken", stale, order, held)
					}
					if basis == router.ByMajority {
						taken++
					} else {
						waited++
					}
				}
			}
		})
	}
	Convey("both happened", test, func() {
		So(taken, ShouldBeGreaterThan, 0)
		So(waited, ShouldBeGreaterThan, 0)
	})
}

func TestTheFirstConfigurationWithoutAMajority(test *testing.T) {
	Convey("one core alone is not believed until the bound, and then the highest is taken", test, func() {
		first := router.NewFirst(0, 3)
		for now := schedule.Microseconds(0); now < 3*schedule.Second; now += 60 * schedule.Millisecond {
			first.Hear(now, firstHead(1, 4, true))
			So(first.Take(now, 4), ShouldEqual, router.Unconfirmed)
		}
		first.Hear(3*schedule.Second, firstHead(1, 4, true))
		So(first.Take(3*schedule.Second, 3), ShouldEqual, router.Unconfirmed)
		So(first.Take(3*schedule.Second, 4), ShouldEqual, router.ByUnheard)
	})
	Convey("a majority that is not current can't be led, and its highest is taken at once", test, func() {
		first := router.NewFirst(0, 3)
		first.Hear(0, firstHead(1, 4, false))
		So(first.Take(0, 4), ShouldEqual, router.Unconfirmed)
		first.Hear(0, firstHead(2, 3, false))
		So(first.Take(0, 3), ShouldEqual, router.Unconfirmed)
		So(first.Take(0, 4), ShouldEqual, router.ByLeaderless)
	})
	Convey("a majority of which some are current is believed after a second", test, func() {
		first := router.NewFirst(0, 3)
		for now := schedule.Microseconds(0); now < schedule.Second; now += 60 * schedule.Millisecond {
			first.Hear(now, firstHead(1, 4, false))
			first.Hear(now, firstHead(2, 3, true))
			So(first.Take(now, 4), ShouldEqual, router.Unconfirmed)
		}
		So(first.Take(schedule.Second, 3), ShouldEqual, router.Unconfirmed)
		So(first.Take(schedule.Second, 4), ShouldEqual, router.ByLeaderless)
	})
	Convey("answers to questions that were sent before, of recovering cores, of none with a seat and of long ago don't count", test, func() {
		first := router.NewFirst(schedule.Second, 3)
		first.Hear(0, firstHead(0, 1, true))
		first.Hear(schedule.Second, firstHead(-1, 1, true))
		recovering := firstHead(2, 1, true)
		recovering.Recovering = true
		first.Hear(schedule.Second, recovering)
		first.Hear(schedule.Second, firstHead(1, 1, true))
		So(first.Take(schedule.Second, 1), ShouldEqual, router.Unconfirmed)
		first.Hear(3*schedule.Second+1, firstHead(0, 1, true))
		So(first.Take(3*schedule.Second+1, 1), ShouldEqual, router.Unconfirmed)
		first.Hear(3*schedule.Second+1, firstHead(1, 1, true))
		So(first.Take(3*schedule.Second+1, 1), ShouldEqual, router.ByMajority)
	})
}
