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

func newShardHead(slot int, revision uint64, upToDate bool) controlapi.ShardHead {
	return controlapi.ShardHead{Slot: slot, Current: upToDate, Head: gossip.Head{Sequence: revision}}
}

// A majority of three knows sequence 2. One core is cut off or has just restarted, and may
// show anything older as if it were current. Whatever is heard in whichever order, the first
// configuration of a life is not sequence 1 while a majority answers that is current.
func TestBootstrap_HasAcknowledgedRevision(t *testing.T) {
	decided, undecided := 0, 0
	for stale := range 3 {
		simulation.Permutations(3, func(order []int) {
			for pendingRevision := uint64(1); pendingRevision <= 2; pendingRevision++ {
				bootstrap := router.NewBootstrap(0, 3)
				now := clock.Microseconds(0)
				for _, slot := range order {
					now += 60 * clock.Millisecond
					revision := uint64(2)
					if slot == stale {
						revision = 1
					}
					bootstrap.Record(now, newShardHead(slot, revision, true))
					basis := bootstrap.Decide(now, pendingRevision)
					if basis != router.BasisUnconfirmed && pendingRevision < 2 {
						t.Fatalf("stale %d, order %v: sequence %d was taken", stale, order, pendingRevision)
					}
					if basis == router.BasisQuorum {
						decided++
					} else {
						undecided++
					}
				}
			}
		})
	}
	Convey("both happened", t, func() {
		So(decided, ShouldBeGreaterThan, 0)
		So(undecided, ShouldBeGreaterThan, 0)
	})
}

func TestBootstrap_WithoutQuorum(t *testing.T) {
	Convey("one core alone is not believed until the bound, and then the highest is taken", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		for now := clock.Microseconds(0); now < 3*clock.Second; now += 60 * clock.Millisecond {
			bootstrap.Record(now, newShardHead(1, 4, true))
			So(bootstrap.Decide(now, 4), ShouldEqual, router.BasisUnconfirmed)
		}
		bootstrap.Record(3*clock.Second, newShardHead(1, 4, true))
		So(bootstrap.Decide(3*clock.Second, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(3*clock.Second, 4), ShouldEqual, router.BasisNoQuorum)
	})
	Convey("a majority that is not current can't be led, and its highest is taken at once", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		bootstrap.Record(0, newShardHead(1, 4, false))
		So(bootstrap.Decide(0, 4), ShouldEqual, router.BasisUnconfirmed)
		bootstrap.Record(0, newShardHead(2, 3, false))
		So(bootstrap.Decide(0, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(0, 4), ShouldEqual, router.BasisLeaderless)
	})
	Convey("a majority of which some are current is believed after a second", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		for now := clock.Microseconds(0); now < clock.Second; now += 60 * clock.Millisecond {
			bootstrap.Record(now, newShardHead(1, 4, false))
			bootstrap.Record(now, newShardHead(2, 3, true))
			So(bootstrap.Decide(now, 4), ShouldEqual, router.BasisUnconfirmed)
		}
		So(bootstrap.Decide(clock.Second, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(clock.Second, 4), ShouldEqual, router.BasisLeaderless)
	})
	Convey("answers to questions that were sent before, of recovering cores, of none with a seat and of long ago don't count", t, func() {
		bootstrap := router.NewBootstrap(clock.Second, 3)
		bootstrap.Record(0, newShardHead(0, 1, true))
		bootstrap.Record(clock.Second, newShardHead(-1, 1, true))
		catchingUp := newShardHead(2, 1, true)
		catchingUp.Recovering = true
		bootstrap.Record(clock.Second, catchingUp)
		bootstrap.Record(clock.Second, newShardHead(1, 1, true))
		So(bootstrap.Decide(clock.Second, 1), ShouldEqual, router.BasisUnconfirmed)
		bootstrap.Record(3*clock.Second+1, newShardHead(0, 1, true))
		So(bootstrap.Decide(3*clock.Second+1, 1), ShouldEqual, router.BasisUnconfirmed)
		bootstrap.Record(3*clock.Second+1, newShardHead(1, 1, true))
		So(bootstrap.Decide(3*clock.Second+1, 1), ShouldEqual, router.BasisQuorum)
	})
}
