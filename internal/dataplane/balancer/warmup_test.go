package balancer_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/state/pairing"
)

// maxWarmupSends is the maximum number of requests that an engine that is warming up may get from all routers in
// any second: 1.5 times its rate of 12, plus a slack of 5.
const maxWarmupSends = 23

// Guards against overloading an engine that is warming up: all routers together stay within its rate, regardless
// of the number of requests and of how selection and sending overlap.
func TestWarmingEngineStaysWithinWarmupRate(t *testing.T) {
	for _, routerCount := range []int{1, 3, 9, 10, 72, 88} {
		Convey(fmt.Sprint("with ", routerCount, " routers"), t, func() {
			sent := sendDuringWarmup(routerCount)
			So(peakPerSecond(sent), ShouldBeLessThanOrEqualTo, maxWarmupSends)
			So(len(sent), ShouldBeGreaterThan, 20)
		})
	}
}

// sendDuringWarmup lets routers send as many requests as they may to one engine that is warming up, for 5 seconds.
// It returns the time of each request.
func sendDuringWarmup(routerCount int) []clock.Microseconds {
	warmingEngines := newEngines(pairing.RoleBoth)
	warmingEngines[0].WarmupRemaining = clock.Second
	var balancers []*balancer.Balancer
	for router := range routerCount {
		lb := balancer.New(testOptions(router))
		lb.Update(clock.Second, balancer.View{
			Service:     testService,
			Engines:     warmingEngines,
			RouterCount: routerCount,
		})
		balancers = append(balancers, lb)
	}
	var sent []clock.Microseconds
	for now := clock.Second; now < 6*clock.Second; now += 10 * clock.Millisecond {
		for _, lb := range balancers {
			// Both requests are selected before either of them is admitted.
			_, firstSelected := lb.Select(now, longRequest(1))
			_, secondSelected := lb.Select(now, longRequest(2))
			for _, selected := range []bool{firstSelected, secondSelected} {
				if selected && lb.Admit(now, engineName(0), balancer.PhaseDecode) {
					sent = append(sent, now)
				}
			}
		}
	}
	return sent
}

// peakPerSecond returns the maximum number of requests within one second.
func peakPerSecond(sent []clock.Microseconds) int {
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
	return peak
}

func TestReadmittedZoneWarmsUp(t *testing.T) {
	Convey("engines of a readmitted zone count as warming up until the list must show which ones are", t, func() {
		lb := newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}, "norte")
		_, ok := lb.Select(clock.Second, longRequest(1))
		So(ok, ShouldBeFalse)
		lb.Update(clock.Second, balancer.View{
			Service:     testService,
			Engines:     newEngines(pairing.RoleBoth),
			RouterCount: 1,
		})
		admitted := admittedOf100(lb, clock.Second, engineName(0))
		So(admitted, ShouldBeLessThanOrEqualTo, maxWarmupSends)
		So(lb.Admit(5*clock.Second, engineName(0), balancer.PhaseDecode), ShouldBeTrue)
	})
}

func TestFlappingAddressWarmsUpLonger(t *testing.T) {
	Convey("each new incarnation at an address where others have ended warms up for longer", t, func() {
		engines := newEngines(pairing.RoleBoth)
		lb, now := newTestBalancer(engines, pairing.Assignment{}), clock.Second
		var warmups []clock.Microseconds
		for restart := range 5 {
			now += clock.Second
			lb.Update(now, balancer.View{Service: testService, RouterCount: 1})
			engines[0].Incarnation = fmt.Sprint("restart-", restart)
			lb.Update(now, balancer.View{Service: testService, Engines: engines, RouterCount: 1})
			elapsed := clock.Microseconds(0)
			for exceedsWarmupRate(lb, now+elapsed, engines[0].Incarnation) {
				elapsed += 100 * clock.Millisecond
			}
			warmups = append(warmups, elapsed)
		}
		So(warmups[0], ShouldBeGreaterThanOrEqualTo, clock.Second)
		So(warmups[1], ShouldBeGreaterThan, warmups[0])
		So(warmups[4], ShouldBeLessThanOrEqualTo, 10*clock.Second)
		Convey("a new incarnation does not warm up if the one before has drained", func() {
			engines[0].Draining = true
			lb.Update(now+60*clock.Second, balancer.View{Service: testService, Engines: engines, RouterCount: 1})
			lb.Update(now+61*clock.Second, balancer.View{Service: testService, RouterCount: 1})
			engines[0].Draining, engines[0].Incarnation = false, "after-drain"
			lb.Update(now+61*clock.Second, balancer.View{Service: testService, Engines: engines, RouterCount: 1})
			So(exceedsWarmupRate(lb, now+61*clock.Second, "after-drain"), ShouldBeFalse)
		})
	})
}

// exceedsWarmupRate reports whether the warm-up rate of an engine permits fewer than 100 simultaneous requests.
func exceedsWarmupRate(lb *balancer.Balancer, now clock.Microseconds, incarnation string) bool {
	return admittedOf100(lb, now, incarnation) < 100
}

// An engine may leave service between its selection and the admission of the call. Admission must ask again, for each
// way of leaving and for the phase of the call.
func TestAdmit_RejectsEnginesOutOfService(t *testing.T) {
	draining := newEngines(pairing.RoleBoth)
	draining[0].Draining = true
	changingRole := pairing.Assignment{ChangingRole: []string{engineName(0)}}
	for _, testCase := range []struct {
		name            string
		lb              *balancer.Balancer
		prefill, decode bool
	}{
		{"in both roles", newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}), true, true},
		{"a prefill engine", newTestBalancer(newEngines(pairing.RolePrefill), pairing.Assignment{}), true, false},
		{"a decode engine", newTestBalancer(newEngines(pairing.RoleDecode), pairing.Assignment{}), false, true},
		{"draining", newTestBalancer(draining, pairing.Assignment{}), false, false},
		{"gone", newTestBalancer(nil, pairing.Assignment{}), false, false},
		{"changing its role", newTestBalancer(newEngines(pairing.RoleBoth), changingRole), false, false},
		{"in an evacuated zone", newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}, "norte"), false, false},
	} {
		Convey(testCase.name, t, func() {
			for phase, expected := range map[balancer.Phase]bool{
				balancer.PhasePrefill: testCase.prefill,
				balancer.PhaseDecode:  testCase.decode,
			} {
				So(testCase.lb.Accepts(engineName(0), phase), ShouldEqual, expected)
				So(testCase.lb.Admit(clock.Second, engineName(0), phase), ShouldEqual, expected)
			}
		})
	}
}
