package autoscale

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/route"
)

// settledSeconds is long enough for the intended numbers and the demand to be known, and for a complete stable span.
const settledSeconds = 20

func TestScaler_Raises(t *testing.T) {
	Convey("a load above the capacity of the engines raises the numbers of all zones immediately", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, Load{Prefill: 16, Decode: 5})
		So(s.orders, ShouldBeEmpty)
		s.advance(6, heavyDemand)
		So(s.orders, ShouldNotBeEmpty)
		So(s.orders[0].Reason, ShouldEqual, ReasonDemand)
		So(wanted(s.decide(heavyDemand))[0], ShouldBeGreaterThan, 20)
	})
	Convey("no zone is raised above the maximum", t, func() {
		s := newScenario(DefaultOptions())
		decisions := s.advance(settledSeconds, Load{Prefill: 500, Decode: 500})
		So(wanted(decisions), ShouldResemble, []int{40, 40, 40})
	})
	Convey("with two zones, engines are added for the loss of one only with zone headroom", t, func() {
		load := Load{Prefill: 18, Decode: 6}
		for headroom, expected := range map[bool]Reason{true: ReasonZoneHeadroom, false: ReasonSufficient} {
			options := DefaultOptions()
			options.ZoneHeadroom = headroom
			s := newScenario(options)
			s.zones = s.zones[:2]
			s.zones[0].Prefill, s.zones[1].Prefill = 15, 15
			s.advance(settledSeconds, load)
			reason := ReasonSufficient
			if len(s.orders) > 0 {
				reason = s.orders[0].Reason
			}
			So(reason, ShouldEqual, expected)
		}
	})
	Convey("engines are added after the engines have been saturated for SaturationSpan", t, func() {
		s := newScenario(DefaultOptions())
		for index := range s.zones {
			s.zones[index].Prefill, s.zones[index].Decode = 4, 16
		}
		saturating := Load{Prefill: 11, Decode: 1}
		s.advance(settledSeconds, Load{Prefill: 8, Decode: 1})
		So(s.orders, ShouldBeEmpty)
		s.advance(4, saturating)
		So(s.orders, ShouldBeEmpty)
		s.advance(6, saturating)
		So(s.orders, ShouldHaveLength, 3)
		So(s.orders[0].Reason, ShouldEqual, ReasonSaturation)
		So(s.orders[0].Wanted, ShouldEqual, 24)
	})
}

func TestScaler_Lowers(t *testing.T) {
	Convey("under a low load, the number decreases in steps to the minimum", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(40, lightLoad)
		So(len(s.orders), ShouldBeGreaterThan, 3)
		So(s.orders[0].Reason, ShouldEqual, ReasonSurplus)
		So(s.orders[0].Wanted, ShouldEqual, 17)
		decisions := s.advance(80, lightLoad)
		So(wanted(decisions), ShouldResemble, []int{10, 10, 10})
		So(decisions[0].Reason, ShouldEqual, ReasonSufficient)
	})
	Convey("not below the requirement for the remaining engines", t, func() {
		s := newScenario(DefaultOptions())
		decisions := s.advance(120, Load{Prefill: 12, Decode: 4})
		total := 0
		for _, decision := range decisions {
			total += decision.Wanted
		}
		needed := DefaultOptions().requirementAfterStepDown(Load{Prefill: 12, Decode: 4}, roleMix{total: 60, prefill: 30, decode: 30})
		So(total, ShouldBeGreaterThanOrEqualTo, needed.engines)
		So(total, ShouldBeLessThan, 60)
	})
	Convey("not below the requirement for the highest load of the stable span", t, func() {
		s := newScenario(DefaultOptions())
		for range 20 {
			s.advance(1, Load{Prefill: 64, Decode: 20})
			s.advance(5, Load{})
		}
		So(s.orders, ShouldBeEmpty)
	})
}

func TestScaler_HoldsStepsDown(t *testing.T) {
	Convey("not before any demand was measured, unless StepDownBeforeDemand is set", t, func() {
		options := DefaultOptions()
		s := newScenario(options)
		So(s.advance(60, Load{})[0].Reason, ShouldEqual, ReasonHoldData)
		So(s.orders, ShouldBeEmpty)
		options.StepDownBeforeDemand = true
		s = newScenario(options)
		s.advance(60, Load{})
		So(s.orders, ShouldNotBeEmpty)
	})
	Convey("not while the number of serving engines differs from the intended one", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(10, lightLoad)
		s.zones[1].Decode -= 2
		So(s.advance(18, lightLoad)[1].Reason, ShouldEqual, ReasonHoldEngines)
		So(s.orders, ShouldBeEmpty)
		s.zones[1].Decode += 2
		s.advance(int(DefaultOptions().StableSpan/clock.Second)-1, lightLoad)
		So(s.orders, ShouldBeEmpty)
		s.advance(2, lightLoad)
		So(s.orders, ShouldNotBeEmpty)
	})
	Convey("not within a stable span after a gap in the decisions", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(14, lightLoad)
		s.now += 30 * clock.Second
		s.advance(8, lightLoad)
		So(s.orders, ShouldBeEmpty)
	})
}

func TestScaler_IncompleteData(t *testing.T) {
	Convey("without any reports nothing changes", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(10, lightLoad)
		for _, router := range s.routers {
			s.silent[router.Router] = true
		}
		So(s.advance(60, lightLoad)[0].Reason, ShouldEqual, ReasonHoldData)
		So(s.orders, ShouldBeEmpty)
	})
	Convey("with reports of less than 0.6 of the routers, engines are added but not removed", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(8, lightLoad)
		for _, router := range s.routers[:3] {
			s.silent[router.Router] = true
		}
		So(s.advance(60, lightLoad)[0].Reason, ShouldEqual, ReasonHoldData)
		So(s.orders, ShouldBeEmpty)
		s.advance(8, heavyDemand.Scale(2))
		So(s.orders, ShouldNotBeEmpty)
		So(s.orders[0].Change(), ShouldBeGreaterThan, 0)
	})
	Convey("an incomplete first list of engines is not taken as the intended number", t, func() {
		s := newScenario(DefaultOptions())
		s.scaling.Min = 17
		s.zones[0].Decode = 1
		So(s.advance(3, lightLoad)[0].Known, ShouldBeFalse)
		s.zones[0].Decode = 10
		s.advance(7, lightLoad)
		So(s.orders, ShouldBeEmpty)
		So(s.advance(2, lightLoad)[0].Base, ShouldEqual, 20)
		So(s.orders, ShouldBeEmpty)
	})
}

func TestScaler_Zones(t *testing.T) {
	busyLoad := Load{Prefill: 24, Decode: 4}
	Convey("an evacuated zone keeps its number, and the other zones are raised to carry its load", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, busyLoad)
		s.zones[1].Unavailable = true
		decisions := s.advance(10, busyLoad)
		So(decisions[1].Wanted, ShouldEqual, 20)
		So(decisions[1].Reason, ShouldEqual, ReasonHoldZone)
		So(decisions[0].Wanted, ShouldBeGreaterThan, 20)
		So(decisions[2].Wanted, ShouldBeGreaterThan, 20)
		Convey("no engine is removed until the zone has been available again for a stable span", func() {
			So(s.advance(40, lightLoad)[0].Reason, ShouldEqual, ReasonHoldZone)
			s.zones[1].Unavailable = false
			count := len(s.orders)
			s.advance(7, lightLoad)
			So(s.orders, ShouldHaveLength, count)
			s.advance(5, lightLoad)
			So(len(s.orders), ShouldBeGreaterThan, count)
		})
	})
	Convey("a lost zone keeps its number, and the other zones are raised to carry its load", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, busyLoad)
		s.zones[2].Prefill, s.zones[2].Decode = 0, 0
		decisions := s.advance(10, busyLoad)
		So(decisions[2].Wanted, ShouldEqual, 20)
		So(decisions[0].Wanted+decisions[1].Wanted, ShouldBeGreaterThan, 40)
	})
}

func TestScaler_MissingZonesAndEngines(t *testing.T) {
	busyLoad := Load{Prefill: 24, Decode: 4}
	Convey("there is no headroom for the loss of a zone without another zone, or while one is lost", t, func() {
		for zones, expected := range map[int][]int{1: {32}, 3: {32, 20, 20}} {
			options := DefaultOptions()
			options.LossUtilization, options.SaturationUtilization = 0.1, 10
			s := newScenario(options)
			s.zones = s.zones[:zones]
			for index := 1; index < zones; index++ {
				s.zones[index].Unavailable = true
			}
			So(wanted(s.advance(settledSeconds, Load{Prefill: 18})), ShouldResemble, expected)
		}
	})
	Convey("missing engines are replaced in the other zones after the tolerance has passed", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, busyLoad)
		s.zones[2].Prefill, s.zones[2].Decode = 2, 2
		s.advance(20, busyLoad)
		So(s.orders, ShouldBeEmpty)
		s.advance(20, busyLoad)
		So(s.orders, ShouldNotBeEmpty)
		for _, order := range s.orders {
			So(order.Zone, ShouldNotEqual, "c")
		}
	})
}

func TestScaler_Limits(t *testing.T) {
	Convey("with equal limits, the number is fixed whatever the load is", t, func() {
		for _, load := range []Load{{}, lightLoad, heavyDemand} {
			s := newScenario(DefaultOptions())
			s.scaling = route.Scaling{Min: 20, Max: 20}
			s.advance(60, load)
			So(s.orders, ShouldBeEmpty)
		}
	})
	Convey("numbers outside changed limits are corrected immediately, even without demand", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, Load{})
		s.scaling.Min = 25
		decisions := s.advance(1, Load{})
		So(wanted(decisions), ShouldResemble, []int{25, 25, 25})
		So(decisions[0].Reason, ShouldEqual, ReasonLimits)
		s.scaling = route.Scaling{Min: 3, Max: 5}
		So(wanted(s.advance(1, Load{})), ShouldResemble, []int{5, 5, 5})
	})
}

func TestScaler_LeaderChange(t *testing.T) {
	Convey("a new leader keeps the committed orders until it has measured the demand for a stable span", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, heavyDemand)
		ordered := wanted(s.decide(heavyDemand))
		So(ordered[0], ShouldBeGreaterThan, 20)
		s.orders = nil
		s.Scaler = NewScaler(DefaultOptions())
		span := int(DefaultOptions().StableSpan / clock.Second)
		decisions := s.advance(span, lightLoad)
		So(s.orders, ShouldBeEmpty)
		So(wanted(decisions), ShouldResemble, ordered)
		So(decisions[0].Base, ShouldEqual, ordered[0])
		s.advance(5, lightLoad)
		So(s.orders, ShouldNotBeEmpty)
		So(s.orders[0].Change(), ShouldBeLessThan, 0)
	})
	Convey("a new leader adds engines as soon as the load is known", t, func() {
		s := newScenario(DefaultOptions())
		s.advance(settledSeconds, Load{Prefill: 16, Decode: 5})
		for index := range s.zones {
			s.zones[index].Ordered, s.zones[index].HasOrder = 20, true
		}
		s.Scaler = NewScaler(DefaultOptions())
		s.advance(3, heavyDemand)
		So(s.orders, ShouldNotBeEmpty)
		So(s.orders[0].Change(), ShouldBeGreaterThan, 0)
	})
	Convey("a new leader orders no more engines while those that its predecessor ordered are starting", t, func() {
		s := newScenario(DefaultOptions())
		for index := range s.zones {
			s.zones[index].Ordered, s.zones[index].HasOrder = 30, true
		}
		s.advance(15, heavyDemand)
		So(s.orders, ShouldBeEmpty)
	})
}
