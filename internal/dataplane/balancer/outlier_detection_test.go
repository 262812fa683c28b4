package balancer_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// selectionCounts returns how many of 100 requests select each engine as decoder.
func selectionCounts(lb *balancer.Balancer, now clock.Microseconds) map[string]int {
	counts := map[string]int{}
	for number := range 100 {
		selection, _ := lb.Select(now, shortRequest(number))
		counts[selection.Decoder.Incarnation]++
	}
	return counts
}

func TestFailingEnginesAreSelectedLess(t *testing.T) {
	roles := []string{pairing.RoleBoth, pairing.RoleBoth, pairing.RoleBoth}
	Convey("an engine that fails every third request is rarely selected, though it answers the others", t, func() {
		lb, now := newTestBalancer(newEngines(roles...), pairing.Assignment{}), clock.Second
		for number := range 30 {
			now += 200 * clock.Millisecond
			if number%3 == 0 {
				lb.RecordFailure(now, engineName(0))
			}
			lb.RecordResponse(now, engineName(0), platformport.Load{})
		}
		So(selectionCounts(lb, now)[engineName(0)], ShouldBeLessThan, 5)
		Convey("it is selected again after its failures have decayed", func() {
			So(selectionCounts(lb, now+30*clock.Second)[engineName(0)], ShouldBeGreaterThan, 20)
		})
	})
	Convey("reports of another router count, though the engine has just responded to this router", t, func() {
		lb, now := newTestBalancer(newEngines(roles...), pairing.Assignment{}), clock.Second
		for range 6 {
			now += clock.Second
			lb.RecordResponse(now, engineName(0), platformport.Load{})
			lb.RecordPeerReport(now, engineName(0))
		}
		So(selectionCounts(lb, now)[engineName(0)], ShouldBeLessThan, 5)
	})
	Convey("failures that all engines have in common cause no penalty", t, func() {
		lb, now := newTestBalancer(newEngines(roles...), pairing.Assignment{}), clock.Second
		before := selectionCounts(lb, now)
		selectionBefore, _ := lb.Select(now, shortRequest(0))
		for range 8 {
			for index := range roles {
				lb.RecordFailure(now, engineName(index))
				lb.RecordResponse(now, engineName(index), platformport.Load{})
			}
		}
		So(selectionCounts(lb, now), ShouldResemble, before)
		selectionAfter, _ := lb.Select(now, shortRequest(0))
		So(selectionAfter, ShouldResemble, selectionBefore)
	})
}

func TestUnresponsiveEnginesAreNotSelected(t *testing.T) {
	engines := newEngines(pairing.RoleBoth, pairing.RoleBoth)
	Convey("an engine with a pending response and no activity is not selected, unless no other may be used", t, func() {
		lb := newTestBalancer(engines, pairing.Assignment{})
		lb.Admit(clock.Second, engineName(0), balancer.PhaseDecode)
		later := clock.Second + 800*clock.Millisecond
		So(lb.Unresponsive(later, engineName(0)), ShouldBeTrue)
		So(lb.Unresponsive(later, engineName(1)), ShouldBeFalse)
		for number := range 20 {
			selection, _ := lb.Select(later, longRequest(number))
			So(selection.Decoder.Incarnation, ShouldEqual, engineName(1))
		}
		lb.RecordActivity(later, engineName(0))
		So(lb.Unresponsive(later, engineName(0)), ShouldBeFalse)
		lb.RecordFailure(later, engineName(0))
		lb.RecordFailure(later, engineName(1))
		_, ok := lb.Select(later, longRequest(1))
		So(ok, ShouldBeTrue)
	})
	Convey("another router's report ejects an engine only if it has shown no recent activity to this router", t, func() {
		lb := newTestBalancer(engines, pairing.Assignment{})
		lb.RecordResponse(clock.Second, engineName(0), platformport.Load{})
		lb.RecordPeerReport(clock.Second+100*clock.Millisecond, engineName(0))
		lb.RecordPeerReport(clock.Second+200*clock.Millisecond, engineName(1))
		for number := range 20 {
			selection, _ := lb.Select(clock.Second+200*clock.Millisecond, longRequest(number))
			So(selection.Decoder.Incarnation, ShouldEqual, engineName(0))
		}
	})
}
