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

// newShardHead returns the head of the configuration shard as one member reports it.
func newShardHead(slot int, revision uint64, upToDate bool) controlapi.ShardHead {
	return controlapi.ShardHead{Slot: slot, Current: upToDate, Head: gossip.Head{Revision: revision}}
}

// bootstrapCounts counts the decisions of many bootstraps with and without a quorum.
type bootstrapCounts struct {
	byQuorum    int
	notByQuorum int
}

// checkOrder records the responses of three members in one order. The stale member reports revision 1,
// and the others report revision 2. The test fails if a decision allows a revision lower than 2.
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
			c.byQuorum++
		} else {
			c.notByQuorum++
		}
	}
}

// Guards against a router that starts with an outdated configuration. Two of three members have
// acknowledged revision 2. The third one is partitioned or has just restarted, and reports revision 1
// as if it were up to date. In no order of the responses may the router activate revision 1.
func TestBootstrap_HasAcknowledgedRevision(t *testing.T) {
	var counts bootstrapCounts
	for stale := range 3 {
		simulation.Permutations(3, func(order []int) {
			for pendingRevision := uint64(1); pendingRevision <= 2; pendingRevision++ {
				counts.checkOrder(t, stale, order, pendingRevision)
			}
		})
	}
	Convey("some decisions are made by a quorum and some are not", t, func() {
		So(counts.byQuorum, ShouldBeGreaterThan, 0)
		So(counts.notByQuorum, ShouldBeGreaterThan, 0)
	})
}

func TestBootstrap_WithoutQuorum(t *testing.T) {
	Convey("the response of a single member counts only after the timeout, and then its revision is required", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		for now := clock.Microseconds(0); now < 3*clock.Second; now += 60 * clock.Millisecond {
			bootstrap.Record(now, newShardHead(1, 4, true))
			So(bootstrap.Decide(now, 4), ShouldEqual, router.BasisUnconfirmed)
		}
		bootstrap.Record(3*clock.Second, newShardHead(1, 4, true))
		So(bootstrap.Decide(3*clock.Second, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(3*clock.Second, 4), ShouldEqual, router.BasisNoQuorum)
	})
	Convey("a quorum that is not up to date has no leader, and its highest revision is activated without a timeout", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		bootstrap.Record(0, newShardHead(1, 4, false))
		So(bootstrap.Decide(0, 4), ShouldEqual, router.BasisUnconfirmed)
		bootstrap.Record(0, newShardHead(2, 3, false))
		So(bootstrap.Decide(0, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(0, 4), ShouldEqual, router.BasisLeaderless)
	})
	Convey("a quorum with too few up-to-date members counts after one second", t, func() {
		bootstrap := router.NewBootstrap(0, 3)
		for now := clock.Microseconds(0); now < clock.Second; now += 60 * clock.Millisecond {
			bootstrap.Record(now, newShardHead(1, 4, false))
			bootstrap.Record(now, newShardHead(2, 3, true))
			So(bootstrap.Decide(now, 4), ShouldEqual, router.BasisUnconfirmed)
		}
		So(bootstrap.Decide(clock.Second, 3), ShouldEqual, router.BasisUnconfirmed)
		So(bootstrap.Decide(clock.Second, 4), ShouldEqual, router.BasisLeaderless)
	})
	Convey("responses to requests sent before the start, from recovering replicas, from non-members and older than the TTL do not count", t, func() {
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
