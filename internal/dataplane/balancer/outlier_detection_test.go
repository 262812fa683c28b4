package balancer_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// shortRequest is a request that a writer serves by itself.
func shortRequest(i int) balancer.Requirements {
	return balancer.Requirements{Key: fmt.Sprint(i), NoSplit: true}
}

// selectionCounts is how many of a hundred requests go to each engine.
func selectionCounts(lb *balancer.Balancer, now clock.Microseconds) map[string]int {
	counts := map[string]int{}
	for i := range 100 {
		selection, _ := lb.Select(now, shortRequest(i))
		counts[selection.Decoder.Incarnation]++
	}
	return counts
}

func TestFailingEnginesAreSelectedLess(t *testing.T) {
	roles := []string{pairing.RoleBoth, pairing.RoleBoth, pairing.RoleBoth}
	Convey("an engine that fails each third request is hardly used, though it answers the others", t, func() {
		lb, now := newTestBalancer(newEngines(roles...), pairing.Assignment{}), clock.Second
		for i := range 30 {
			now += 200 * clock.Millisecond
			if i%3 == 0 {
				lb.RecordFailure(now, "life-0")
			}
			lb.RecordResponse(now, "life-0", platformport.Load{})
		}
		So(selectionCounts(lb, now)["life-0"], ShouldBeLessThan, 5)
		Convey("and is tried again once its faults have faded", func() {
			So(selectionCounts(lb, now+30*clock.Second)["life-0"], ShouldBeGreaterThan, 20)
		})
	})
	Convey("another router's word counts, though the engine has just answered here", t, func() {
		lb, now := newTestBalancer(newEngines(roles...), pairing.Assignment{}), clock.Second
		for range 6 {
			now += clock.Second
			lb.RecordResponse(now, "life-0", platformport.Load{})
			lb.RecordPeerReport(now, "life-0")
		}
		So(selectionCounts(lb, now)["life-0"], ShouldBeLessThan, 5)
	})
	Convey("what all engines have in common counts against none", t, func() {
		lb, now := newTestBalancer(newEngines(roles...), pairing.Assignment{}), clock.Second
		before := selectionCounts(lb, now)
		for range 8 {
			for index := range roles {
				lb.RecordFailure(now, fmt.Sprint("life-", index))
				lb.RecordResponse(now, fmt.Sprint("life-", index), platformport.Load{})
			}
		}
		So(selectionCounts(lb, now), ShouldResemble, before)
	})
}

func TestAttemptTimeoutAdaptsToLatency(t *testing.T) {
	Convey("it grows with the lag that is seen, within its bounds", t, func() {
		lb, now := newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}), clock.Second
		limit := func() clock.Microseconds { return lb.EstimateTimeout(now, "life-0", balancer.PhasePrefill).Limit }
		for range 50 {
			lb.ObserveLatency(balancer.PhasePrefill, balancer.AttemptTimeout{}, 10*clock.Millisecond)
		}
		So(limit(), ShouldEqual, 600*clock.Millisecond)
		for i := range 50 {
			lb.ObserveLatency(balancer.PhasePrefill, balancer.AttemptTimeout{}, clock.Microseconds(i%5)*100*clock.Millisecond)
		}
		So(limit(), ShouldBeBetween, 600*clock.Millisecond, clock.Second)
		for range 50 {
			lb.ObserveLatency(balancer.PhasePrefill, balancer.AttemptTimeout{}, 5*clock.Second)
		}
		So(limit(), ShouldEqual, clock.Second)
		So(lb.EstimateTimeout(now, "life-0", balancer.PhaseDecode).Limit, ShouldEqual, 600*clock.Millisecond)
	})
	Convey("it allows for what the engine has to read before", t, func() {
		lb, now := newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}), clock.Second
		idle := lb.EstimateTimeout(now, "life-0", balancer.PhasePrefill)
		lb.AddPromptTokens("life-0", 40000)
		busy := lb.EstimateTimeout(now, "life-0", balancer.PhasePrefill)
		So(busy.Expected-idle.Expected, ShouldBeGreaterThan, 500*clock.Millisecond)
		So(busy.Limit-idle.Limit, ShouldEqual, 2*(busy.Expected-idle.Expected))
	})
}
