package balancer_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

var service = route.Service{Name: "model", ColdRate: 12}

func testOptions(router int) balancer.Options {
	return balancer.Options{Router: fmt.Sprint("router-", router), Zone: "norte", WarmupOverrun: 1.5, WarmupSlack: 5, CrossZoneCost: 1500}
}

func newEngines(roles ...string) []platformport.Engine {
	var list []platformport.Engine
	for index, role := range roles {
		list = append(list, platformport.Engine{Incarnation: fmt.Sprint("life-", index), Address: fmt.Sprint("address-", index), Zone: "norte", Role: role, Slots: 8, ModelVersion: 1})
	}
	return list
}

func newTestBalancer(engines []platformport.Engine, assignment pairing.Assignment, evacuatedZones ...string) *balancer.Balancer {
	lb := balancer.New(testOptions(0))
	lb.Update(clock.Second, service, engines, assignment, evacuatedZones, 1)
	return lb
}

func longRequest(i int) balancer.Requirements {
	return balancer.Requirements{Key: fmt.Sprint(i), Prompt: []platformport.PromptChunk{{Name: "shared", Tokens: 6000}, {Name: fmt.Sprint("own-", i), Tokens: 2000}}}
}

// All routers together keep a cold engine below its rate, however hard callers press and
// however choosing and sending overlap.
func TestColdEngineStaysWithinWarmupRate(t *testing.T) {
	for _, routerCount := range []int{1, 3, 9, 10, 72, 88} {
		Convey(fmt.Sprint("by ", routerCount, " routers"), t, func() {
			coldEngines := newEngines(pairing.RoleBoth)
			coldEngines[0].WarmupRemaining = clock.Second
			var balancers []*balancer.Balancer
			for i := range routerCount {
				lb := balancer.New(testOptions(i))
				lb.Update(clock.Second, service, coldEngines, pairing.Assignment{}, nil, routerCount)
				balancers = append(balancers, lb)
			}
			var sent []clock.Microseconds
			for now := clock.Second; now < 6*clock.Second; now += 10 * clock.Millisecond {
				for _, lb := range balancers {
					// Two choose before either sends.
					_, firstSelected := lb.Select(now, longRequest(1))
					_, secondSelected := lb.Select(now, longRequest(2))
					for _, selected := range []bool{firstSelected, secondSelected} {
						if selected && lb.Admit(now, "life-0") {
							sent = append(sent, now)
						}
					}
				}
			}
			peak := 0
			for index, sentAt := range sent {
				count := 0
				for _, other := range sent[index:] {
					if other-sentAt < clock.Second {
						count++
					}
				}
				peak = max(peak, count)
			}
			So(peak, ShouldBeLessThanOrEqualTo, 23)
			So(len(sent), ShouldBeGreaterThan, 20)
		})
	}
}

func TestReadmittedZoneWarmsUp(t *testing.T) {
	Convey("until the list must know whether they are", t, func() {
		lb := newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}, "norte")
		_, ok := lb.Select(clock.Second, longRequest(1))
		So(ok, ShouldBeFalse)
		lb.Update(clock.Second, service, newEngines(pairing.RoleBoth), pairing.Assignment{}, nil, 1)
		admitted := 0
		for range 100 {
			if lb.Admit(clock.Second, "life-0") {
				admitted++
			}
		}
		So(admitted, ShouldBeLessThanOrEqualTo, 23)
		So(lb.Admit(5*clock.Second, "life-0"), ShouldBeTrue)
	})
}

func TestFlappingAddressWarmsUpLonger(t *testing.T) {
	Convey("a new life where others have ended is cold for longer each time, one that left in order is not", t, func() {
		engines := newEngines(pairing.RoleBoth)
		lb, now := newTestBalancer(engines, pairing.Assignment{}), clock.Second
		var warmups []clock.Microseconds
		for i := range 5 {
			now += clock.Second
			lb.Update(now, service, nil, pairing.Assignment{}, nil, 1)
			engines[0].Incarnation = fmt.Sprint("again-", i)
			lb.Update(now, service, engines, pairing.Assignment{}, nil, 1)
			elapsed := clock.Microseconds(0)
			for exceedsWarmupRate(lb, now+elapsed, engines[0].Incarnation) {
				elapsed += 100 * clock.Millisecond
			}
			warmups = append(warmups, elapsed)
		}
		So(warmups[0], ShouldBeGreaterThanOrEqualTo, clock.Second)
		So(warmups[1], ShouldBeGreaterThan, warmups[0])
		So(warmups[4], ShouldBeLessThanOrEqualTo, 10*clock.Second)
		engines[0].Draining = true
		lb.Update(now+60*clock.Second, service, engines, pairing.Assignment{}, nil, 1)
		lb.Update(now+61*clock.Second, service, nil, pairing.Assignment{}, nil, 1)
		engines[0].Draining, engines[0].Incarnation = false, "orderly"
		lb.Update(now+61*clock.Second, service, engines, pairing.Assignment{}, nil, 1)
		So(exceedsWarmupRate(lb, now+61*clock.Second, "orderly"), ShouldBeFalse)
	})
}

// exceedsWarmupRate tells whether a hundred requests at once are too many for an engine.
func exceedsWarmupRate(lb *balancer.Balancer, now clock.Microseconds, incarnation string) bool {
	for range 100 {
		if !lb.Admit(now, incarnation) {
			return true
		}
	}
	return false
}

func TestPrefillPlacement(t *testing.T) {
	engines := newEngines(pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode)
	Convey("a long prompt is read apart, at the home of its shared pieces, the same for all routers", t, func() {
		first, _ := newTestBalancer(engines, pairing.Assignment{}).Select(clock.Second, longRequest(1))
		So(first.Split, ShouldBeTrue)
		for i := range 20 {
			lb := balancer.New(testOptions(i))
			lb.Update(clock.Second, service, engines, pairing.Assignment{}, nil, 20)
			selection, _ := lb.Select(clock.Second, longRequest(i))
			So(selection.Prefiller.Incarnation, ShouldEqual, first.Prefiller.Incarnation)
			So(selection.UncachedTokens, ShouldEqual, 2000)
		}
	})
	Convey("a queue there sends it elsewhere", t, func() {
		lb := newTestBalancer(engines, pairing.Assignment{})
		first, _ := lb.Select(clock.Second, longRequest(1))
		lb.AddPromptTokens(first.Prefiller.Incarnation, 100_000)
		second, _ := lb.Select(clock.Second, longRequest(1))
		So(second.Prefiller.Incarnation, ShouldNotEqual, first.Prefiller.Incarnation)
	})
	Convey("equal makers are drawn by request, so that not all routers choose the same", t, func() {
		counts := map[string]int{}
		for i := range 100 {
			selection, _ := newTestBalancer(engines, pairing.Assignment{}).Select(clock.Second, longRequest(i))
			counts[selection.Decoder.Incarnation]++
		}
		So(counts["life-3"], ShouldBeGreaterThan, 20)
		So(counts["life-4"], ShouldBeGreaterThan, 20)
	})
	Convey("an engine on its way to another part, one that leaves and one of another team get nothing", t, func() {
		leaving := newEngines(pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode, pairing.RoleDecode)
		leaving[0].Draining = true
		assignment := pairing.Assignment{Away: []string{"life-3"}, Teams: map[string]string{"life-1": "a", "life-2": "b", "life-4": "a", "life-5": "b"}}
		for i := range 50 {
			selection, _ := newTestBalancer(leaving, assignment).Select(clock.Second, longRequest(i))
			So(selection.Prefiller.Incarnation, ShouldNotEqual, "life-0")
			So(selection.Decoder.Incarnation, ShouldNotEqual, "life-3")
			if selection.Split {
				So(assignment.Teams[selection.Prefiller.Incarnation], ShouldEqual, assignment.Teams[selection.Decoder.Incarnation])
			}
		}
	})
	Convey("marks of leaving stay for a life, even if a list forgets them", t, func() {
		leaving := newEngines(pairing.RoleBoth)
		leaving[0].Draining = true
		lb := newTestBalancer(leaving, pairing.Assignment{})
		lb.Update(2*clock.Second, service, newEngines(pairing.RoleBoth), pairing.Assignment{}, nil, 1)
		_, ok := lb.Select(2*clock.Second, longRequest(1))
		So(ok, ShouldBeFalse)
	})
}

func TestUnresponsiveEnginesAreNotSelected(t *testing.T) {
	engines := newEngines(pairing.RoleBoth, pairing.RoleBoth)
	Convey("while they owe an answer and show nothing, unless there is no other", t, func() {
		lb := newTestBalancer(engines, pairing.Assignment{})
		lb.Admit(clock.Second, "life-0")
		later := clock.Second + 800*clock.Millisecond
		So(lb.Unresponsive(later, "life-0"), ShouldBeTrue)
		So(lb.Unresponsive(later, "life-1"), ShouldBeFalse)
		for i := range 20 {
			selection, _ := lb.Select(later, longRequest(i))
			So(selection.Decoder.Incarnation, ShouldEqual, "life-1")
		}
		lb.RecordActivity(later, "life-0")
		So(lb.Unresponsive(later, "life-0"), ShouldBeFalse)
		lb.RecordFailure(later, "life-0")
		lb.RecordFailure(later, "life-1")
		_, ok := lb.Select(later, longRequest(1))
		So(ok, ShouldBeTrue)
	})
	Convey("another router's word counts only against one that has shown nothing here lately", t, func() {
		lb := newTestBalancer(engines, pairing.Assignment{})
		lb.RecordResponse(clock.Second, "life-0", platformport.Load{})
		lb.RecordPeerReport(clock.Second+100*clock.Millisecond, "life-0")
		lb.RecordPeerReport(clock.Second+200*clock.Millisecond, "life-1")
		for i := range 20 {
			selection, _ := lb.Select(clock.Second+200*clock.Millisecond, longRequest(i))
			So(selection.Decoder.Incarnation, ShouldEqual, "life-0")
		}
	})
}
