package balancer_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/state/pairing"
)

func TestAttemptTimeoutAdaptsToLatency(t *testing.T) {
	Convey("the limit grows with the observed latency, within its bounds", t, func() {
		lb, now := newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}), clock.Second
		limit := func(phase balancer.Phase) clock.Microseconds {
			return lb.EstimateTimeout(now, engineName(0), phase).Limit
		}
		observe := func(latency clock.Microseconds) {
			lb.ObserveLatency(balancer.PhasePrefill, balancer.AttemptTimeout{}, latency)
		}
		for range 50 {
			observe(10 * clock.Millisecond)
		}
		So(limit(balancer.PhasePrefill), ShouldEqual, 600*clock.Millisecond)
		for number := range 50 {
			observe(clock.Microseconds(number%5) * 100 * clock.Millisecond)
		}
		So(limit(balancer.PhasePrefill), ShouldBeBetween, 600*clock.Millisecond, clock.Second)
		for range 50 {
			observe(5 * clock.Second)
		}
		So(limit(balancer.PhasePrefill), ShouldEqual, clock.Second)
		So(limit(balancer.PhaseDecode), ShouldEqual, 600*clock.Millisecond)
	})
	Convey("the limit includes twice the time of the engine's prefill backlog", t, func() {
		lb, now := newTestBalancer(newEngines(pairing.RoleBoth), pairing.Assignment{}), clock.Second
		idle := lb.EstimateTimeout(now, engineName(0), balancer.PhasePrefill)
		lb.AddPromptTokens(engineName(0), 0, 40000)
		busy := lb.EstimateTimeout(now, engineName(0), balancer.PhasePrefill)
		So(busy.Expected-idle.Expected, ShouldBeGreaterThan, 500*clock.Millisecond)
		So(busy.Limit-idle.Limit, ShouldEqual, 2*(busy.Expected-idle.Expected))
	})
}
