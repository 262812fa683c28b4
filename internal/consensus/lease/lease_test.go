package lease_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/faulttest/simulation"
)

var testTiming = lease.Timing{LeaseDuration: 3 * clock.Second, SafetyMargin: 150 * clock.Millisecond}

const (
	granterCount = 3
	// noRestart is a granter number that no granter has; with it, run restarts no granter.
	noRestart = granterCount
)

// leaseRequest is a request of the leader of a term to one granter.
type leaseRequest struct {
	term    uint64
	granter int
}

// leaseScenario consists of granters and of two terms whose leaders request leases from them.
type leaseScenario struct {
	granters []*lease.Granter
	leases   map[uint64]*lease.Lease
	overlaps int
}

func newLeaseScenario() *leaseScenario {
	scenario := &leaseScenario{leases: map[uint64]*lease.Lease{}}
	for range granterCount {
		scenario.granters = append(scenario.granters, lease.NewGranter(lease.GranterOptions{Timing: testTiming, NewCluster: true}))
	}
	for _, term := range []uint64{1, 2} {
		scenario.leases[term] = lease.NewLease(testTiming, term, granterCount)
	}
	return scenario
}

// run delivers the requests in the given order, one every 0.9 s, restarts one granter before the
// fourth, and counts the deliveries after which both terms hold a lease.
func (s *leaseScenario) run(requests []leaseRequest, order []int, restarted int) {
	now := clock.Second
	for step, index := range order {
		now += 900 * clock.Millisecond
		if restarted != noRestart && step == 3 {
			s.granters[restarted] = lease.NewGranter(lease.GranterOptions{Timing: testTiming, StartedAt: now})
		}
		request := requests[index]
		if s.granters[request.granter].HandleRequest(now, request.term) {
			s.leases[request.term].RecordRenewal(now, request.granter, now)
		}
		if s.leases[1].ExpiresAt() > now && s.leases[2].ExpiresAt() > now {
			s.overlaps++
		}
	}
}

// Guards against two terms that hold the grants of a majority at the same time. Two terms request
// leases from three granters in every order of arrival, and each granter may restart in between.
func TestLease_NoTwoLeadersAtOnce(t *testing.T) {
	requests := []leaseRequest{{1, 0}, {1, 1}, {1, 2}, {2, 0}, {2, 1}, {2, 2}}
	overlaps, bothAcquired := 0, 0
	for restarted := range granterCount + 1 {
		simulation.Permutations(len(requests), func(order []int) {
			scenario := newLeaseScenario()
			scenario.run(requests, order, restarted)
			overlaps += scenario.overlaps
			if scenario.leases[1].ExpiresAt() > 0 && scenario.leases[2].ExpiresAt() > 0 {
				bothAcquired++
			}
		})
	}
	Convey("two terms never hold a lease at the same time, and in some orders each gets one", t, func() {
		So(overlaps, ShouldEqual, 0)
		So(bothAcquired, ShouldBeGreaterThan, 0)
	})
}

func TestLease_StartsAtRequestAndWaitsBeforeUse(t *testing.T) {
	Convey("a lease that a majority has granted", t, func() {
		leaderLease := lease.NewLease(testTiming, 5, 3)
		leaderLease.RecordRenewal(2*clock.Second, 0, clock.Second)
		So(leaderLease.ExpiresAt(), ShouldEqual, 0)
		leaderLease.RecordRenewal(3*clock.Second, 2, 2*clock.Second)
		So(leaderLease.ExpiresAt(), ShouldEqual, clock.Second+testTiming.LeaseDuration-testTiming.SafetyMargin)
		So(leaderLease.UsableFrom(), ShouldEqual, 3*clock.Second+testTiming.LeaseDuration)
		leaderLease.RecordRenewal(6*clock.Second, 0, 6*clock.Second)
		leaderLease.RecordRenewal(6*clock.Second, 2, 6*clock.Second)
		So(leaderLease.CoversCommand(6*clock.Second-1, 0), ShouldBeFalse)
		So(leaderLease.CoversCommand(6*clock.Second, clock.Second), ShouldBeTrue)
		So(leaderLease.CoversCommand(8*clock.Second, clock.Second), ShouldBeFalse)
	})
}
