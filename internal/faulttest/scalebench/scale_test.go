package scale_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/scalebench"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/transport"
)

func settings(sizes scale.Sizes) scale.Settings {
	return scale.Settings{Sizes: sizes, Cores: 3, Real: 1, Halls: 3, Seconds: 6}
}

// measured runs a fleet under the virtual clock.
func measured(test *testing.T, sizes scale.Sizes) (figures scale.Figures) {
	test.Helper()
	synctest.Test(test, func(test *testing.T) {
		fabric := simulation.NewFabric(200)
		var lock sync.Mutex
		places := map[string]int{}
		place := func(machine string) int {
			lock.Lock()
			defer lock.Unlock()
			if _, known := places[machine]; !known {
				places[machine] = len(places)
			}
			return places[machine]
		}
		ground := scale.Ground{
			Network: func(machine string) circuit.Network {
				place(machine)
				return simulation.Port{Fabric: fabric, Machine: machine}
			},
			Address: func(machine, socket string) string {
				return fmt.Sprintf("10.0.0.%d:%d", place(machine), len(socket))
			},
		}
		var err error
		figures, err = scale.Measure(test.Context(), ground, settings(sizes), sizes)
		for machine := range places {
			fabric.Kill(machine)
		}
		synctest.Wait()
		if err != nil {
			test.Error(mishap.Text(err))
		}
	})
	return figures
}

// The counts that the page of capacity builds on, at sizes that run in a moment. Whoever
// mends a slope changes the count here.
func TestCountsGrowAsThePageOfCapacitySays(test *testing.T) {
	small := measured(test, scale.Sizes{Daemons: 6, Engines: 12, Services: 2, Tenants: 20, Routes: 2, Changes: 1})
	large := measured(test, scale.Sizes{Daemons: 12, Engines: 24, Services: 2, Tenants: 40, Routes: 2, Changes: 1})
	Convey("both sizes were measured", test, func() {
		So(small, ShouldNotBeEmpty)
		So(large, ShouldNotBeEmpty)
	})
	Convey("each router reads each core 3.3 times a second", test, func() {
		So(small.Of("heads/s"), ShouldAlmostEqual, 5*10, 3)
		So(large.Of("heads/s"), ShouldAlmostEqual, 11*10, 5)
	})
	Convey("the leader lists once a second, however many engines there are, and asks none itself", test, func() {
		So(small.Of("lists/s"), ShouldAlmostEqual, 1, 0.35)
		So(large.Of("lists/s"), ShouldAlmostEqual, 1, 0.35)
		So(large.Of("reports/s"), ShouldEqual, 0)
	})
	Convey("a contract names the team of every engine but of those on their way to another part, and no pairs", test, func() {
		So(small.Of("pairs"), ShouldEqual, 0)
		So(large.Of("pairs"), ShouldEqual, 0)
		So(small.Of("in teams")+small.Of("on the way"), ShouldEqual, 12)
		So(large.Of("in teams")+large.Of("on the way"), ShouldEqual, 24)
		So(large.Of("on the way"), ShouldBeLessThanOrEqualTo, 2*2)
	})
	Convey("every change is acknowledged and reaches every router", test, func() {
		So(large.Of("changes missed"), ShouldEqual, 0)
		So(large.Of("changes acknowledged"), ShouldBeGreaterThanOrEqualTo, 4)
		So(large.Of("everywhere worst ms"), ShouldBeLessThan, 5000)
	})
	Convey("every router holds every route, yet a step of a change does not grow with them", test, func() {
		So(large.Of("configuration KB"), ShouldBeGreaterThan, 1.6*small.Of("configuration KB"))
		So(large.Of("configuration step bytes"), ShouldAlmostEqual, small.Of("configuration step bytes"), 40)
	})
}

func TestSizesBeyondTheMachineAreDeclined(test *testing.T) {
	Convey("too many of anything, more than half of the memory, or what can't be varied", test, func() {
		fine := settings(scale.Sizes{Daemons: 4, Engines: 4, Services: 1, Tenants: 1, Routes: 1})
		So(fine.Check(), ShouldBeNil)
		for _, wrong := range []func(*scale.Settings){
			func(settings *scale.Settings) { settings.Daemons = 5000 },
			func(settings *scale.Settings) { settings.Tenants, settings.Routes = 20_000, 2 },
			func(settings *scale.Settings) {
				settings.Engines, settings.Cores, settings.Real, settings.Daemons = 4000, 7, 64, 900
			},
			func(settings *scale.Settings) { settings.Real = 5 },
			func(settings *scale.Settings) { settings.Seconds = 1000 },
			func(settings *scale.Settings) { settings.Vary = "mood" },
			func(settings *scale.Settings) { settings.Vary, settings.Values = "daemons", []float64{4, 4000} },
		} {
			settings := fine
			wrong(&settings)
			So(mishap.CodeOf(settings.Check(), mishap.Fine), ShouldEqual, mishap.SettingBad)
		}
	})
}

func TestALineIsFittedAndItsBendTold(test *testing.T) {
	Convey("what grows with the size has exponent 1 and no spread; a square has exponent 2", test, func() {
		line := scale.Straight([]float64{10, 20, 40, 80}, []float64{20, 40, 80, 160})
		So(line.Slope, ShouldAlmostEqual, 2, 1e-9)
		So(line.Offset, ShouldAlmostEqual, 0, 1e-9)
		So(line.Spread, ShouldAlmostEqual, 0, 1e-9)
		So(line.Bend, ShouldAlmostEqual, 1, 1e-9)
		square := scale.Straight([]float64{10, 20, 40, 80}, []float64{1, 4, 16, 64})
		So(square.Bend, ShouldAlmostEqual, 2, 1e-9)
		So(square.Spread, ShouldBeGreaterThan, 0.5)
	})
}
