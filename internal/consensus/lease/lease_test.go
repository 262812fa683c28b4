package lease_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/faulttest/simulation"
)

var testTiming = lease.Timing{LeaseDuration: 3 * clock.Second, SafetyMargin: 150 * clock.Millisecond}

// Three voters, two rounds that ask at fixed moments, in every order of arrival,
// and each voter may restart before any of them: never do both rounds hold a
// majority's grant at one moment.
func TestLease_NoTwoLeadersAtOnce(t *testing.T) {
	type leaseRequest struct {
		term    uint64
		granter int
	}
	requests := []leaseRequest{{1, 0}, {1, 1}, {1, 2}, {2, 0}, {2, 1}, {2, 2}}
	overlaps, bothAcquired := 0, 0
	for restarted := range 4 {
		simulation.Permutations(len(requests), func(order []int) {
			granters := []*lease.Granter{}
			for range 3 {
				granters = append(granters, lease.NewGranter(testTiming, 0, true))
			}
			leases := map[uint64]*lease.Lease{1: lease.NewLease(testTiming, 1, 3), 2: lease.NewLease(testTiming, 2, 3)}
			now := clock.Second
			for step, index := range order {
				now += 900 * clock.Millisecond
				if restarted < 3 && step == 3 {
					granters[restarted] = lease.NewGranter(testTiming, now, false)
				}
				request := requests[index]
				if granters[request.granter].HandleRequest(now, request.term) {
					leases[request.term].RecordRenewal(now, request.granter, now)
				}
				if leases[1].ExpiresAt() > now && leases[2].ExpiresAt() > now {
					overlaps++
				}
			}
			if leases[1].ExpiresAt() > 0 && leases[2].ExpiresAt() > 0 {
				bothAcquired++
			}
		})
	}
	Convey("two rounds never hold at once, and the orders tried are not all idle", t, func() {
		So(overlaps, ShouldEqual, 0)
		So(bothAcquired, ShouldBeGreaterThan, 0)
	})
}

func TestLease_StartsAtRequestAndWaitsBeforeUse(t *testing.T) {
	Convey("a holder of a majority", t, func() {
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
