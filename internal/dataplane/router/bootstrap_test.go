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

// newShardHead is the state of the configuration's shard as one member reports it.
func newShardHead(slot int, revision uint64, upToDate bool) controlapi.ShardHead {
	return controlapi.ShardHead{Slot: slot, Current: upToDate, Head: gossip.Head{Revision: revision}}
}

// bootstrapCounts counts the decisions of many bootstraps.
type bootstrapCounts struct {
	decided   int
	undecided int
}

// checkOrder has three members respond in one order, all but the stale one with revision 2. No
// decision lets a lower revision pass.
func (c *bootstrapCounts) checkOrder(t *testing.T, stale int, order []int, pendingRevision uint64) {
	t.Helper()
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
			t.Fatalf("stale %d, order %v: revision %d was activated", stale, order, pendingRevision)
		}
		if basis == router.BasisQuorum {
			c.decided++
		} else {
			c.undecided++
		}
	}
}

// A quorum of three members knows revision 2. One member is partitioned or has just restarted, and
// may report anything older as if it were up to date. Whichever responses arrive in whichever order,
// the first configuration of an incarnation is not revision 1 while a quorum responds that is up
// to date.
func TestBootstrap_HasAcknowledgedRevision(t *testing.T) {
	var counts bootstrapCounts
	for stale := range 3 {
		simulation.Permutations(3, func(order []int) {
			for pendingRevision := uint64(1); pendingRevision <= 2; pendingRevision++ {
				counts.checkOrder(t, stale, order, pendingRevision)
			}
		})
	}
	Convey("both happened", t, func() {
		So(counts.decided, ShouldBeGreaterThan, 0)
		So(counts.undecided, ShouldBeGreaterThan, 0)
	})
}

func TestBootstrap_WithoutQuorum(t *testing.T) {
	Convey("one member alone is not believed until the timeout, and then the highest revision is activated", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		for now := clock.Microseconds(0); now < 3*clock.Second; now += 60 * clock.Millisecond {
			bootstrap.Record(now, newShardHead(1, 4, true))
			So(bootstrap.Decide(now, 4), ShouldEqual, router.BasisUnconfirmed)
		}
		bootstrap.Record(3*clock.Second, newShardHead(1, 4, true))
		So(bootstrap.Decide(3*clock.Second, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(3*clock.Second, 4), ShouldEqual, router.BasisNoQuorum)
	})
	Convey("a quorum that is not up to date can't be led, and its highest revision is activated at once", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		bootstrap.Record(0, newShardHead(1, 4, false))
		So(bootstrap.Decide(0, 4), ShouldEqual, router.BasisUnconfirmed)
		bootstrap.Record(0, newShardHead(2, 3, false))
		So(bootstrap.Decide(0, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(0, 4), ShouldEqual, router.BasisLeaderless)
	})
	Convey("a quorum of which some are up to date is believed after a second", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		for now := clock.Microseconds(0); now < clock.Second; now += 60 * clock.Millisecond {
			bootstrap.Record(now, newShardHead(1, 4, false))
			bootstrap.Record(now, newShardHead(2, 3, true))
			So(bootstrap.Decide(now, 4), ShouldEqual, router.BasisUnconfirmed)
		}
		So(bootstrap.Decide(clock.Second, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(clock.Second, 4), ShouldEqual, router.BasisLeaderless)
	})
	Convey("responses to requests from before the start, of recovering replicas, of non-members and of long ago don't count", t, func() {
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
