package scalebench_test

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

func newSettings(sizes scalebench.Sizes) scalebench.Settings {
	return scalebench.Settings{Sizes: sizes, Servers: 3, RealRouters: 1, Zones: 3, Seconds: 6}
}

// measureFleet runs a fleet under the virtual clock.
func measureFleet(t *testing.T, sizes scalebench.Sizes) (measurements scalebench.Measurements) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simulation.NewMemoryNetwork(200)
		var lock sync.Mutex
		indexOfHost := map[string]int{}
		hostIndex := func(host string) int {
			lock.Lock()
			defer lock.Unlock()
			if _, known := indexOfHost[host]; !known {
				indexOfHost[host] = len(indexOfHost)
			}
			return indexOfHost[host]
		}
		environment := scalebench.Environment{
			Network: func(host string) transport.Network {
				hostIndex(host)
				return simulation.Host{MemoryNetwork: network, Name: host}
			},
			Address: func(host, socket string) string {
				return fmt.Sprintf("10.0.0.%d:%d", hostIndex(host), len(socket))
			},
		}
		var err error
		measurements, err = scalebench.Measure(t.Context(), environment, newSettings(sizes), sizes)
		for host := range indexOfHost {
			network.Kill(host)
		}
		synctest.Wait()
		if err != nil {
			t.Error(errcode.Text(err))
		}
	})
	return measurements
}

// TestMeasurements_GrowAsDocumented measures the counts that the documentation of capacity relies
// on, at sizes that run within seconds. A change of how a count grows changes the count here.
func TestMeasurements_GrowAsDocumented(t *testing.T) {
	small := measureFleet(t, scalebench.Sizes{Routers: 6, Engines: 12, Services: 2, Tenants: 20, RoutesPerTenant: 2, ChangesPerSecond: 1})
	large := measureFleet(t, scalebench.Sizes{Routers: 12, Engines: 24, Services: 2, Tenants: 40, RoutesPerTenant: 2, ChangesPerSecond: 1})
	Convey("both sizes were measured", t, func() {
		So(small, ShouldNotBeEmpty)
		So(large, ShouldNotBeEmpty)
	})
	Convey("each router reads each core 3.3 times a second", t, func() {
		So(small.ValueOf("heads/s"), ShouldAlmostEqual, 5*10, 3)
		So(large.ValueOf("heads/s"), ShouldAlmostEqual, 11*10, 5)
	})
	Convey("the leader lists once a second, however many engines there are, and asks none itself", t, func() {
		So(small.ValueOf("lists/s"), ShouldAlmostEqual, 1, 0.35)
		So(large.ValueOf("lists/s"), ShouldAlmostEqual, 1, 0.35)
		So(large.ValueOf("reports/s"), ShouldEqual, 0)
	})
	Convey("an assignment has the affinity group of every engine but of those that change their role, and no pairs", t, func() {
		So(small.ValueOf("pairs"), ShouldEqual, 0)
		So(large.ValueOf("pairs"), ShouldEqual, 0)
		So(small.ValueOf("in teams")+small.ValueOf("on the way"), ShouldEqual, 12)
		So(large.ValueOf("in teams")+large.ValueOf("on the way"), ShouldEqual, 24)
		So(large.ValueOf("on the way"), ShouldBeLessThanOrEqualTo, 2*2)
	})
	Convey("every change is acknowledged and reaches every router", t, func() {
		So(large.ValueOf("changes missed"), ShouldEqual, 0)
		So(large.ValueOf("changes acknowledged"), ShouldBeGreaterThanOrEqualTo, 4)
		So(large.ValueOf("everywhere worst ms"), ShouldBeLessThan, 5000)
	})
	Convey("every router holds every route, yet a step of a change does not grow with them", t, func() {
		So(large.ValueOf("configuration KB"), ShouldBeGreaterThan, 1.6*small.ValueOf("configuration KB"))
		So(large.ValueOf("configuration step bytes"), ShouldAlmostEqual, small.ValueOf("configuration step bytes"), 40)
	})
}

func TestSettings_RejectSizesBeyondHost(t *testing.T) {
	Convey("too many of anything, more than half of the memory, or an unknown parameter", t, func() {
		valid := newSettings(scalebench.Sizes{Routers: 4, Engines: 4, Services: 1, Tenants: 1, RoutesPerTenant: 1})
		So(valid.Validate(), ShouldBeNil)
		for _, makeInvalid := range []func(*scalebench.Settings){
			func(settings *scalebench.Settings) { settings.Routers = 5000 },
			func(settings *scalebench.Settings) { settings.Tenants, settings.RoutesPerTenant = 20_000, 2 },
			func(settings *scalebench.Settings) {
				settings.Engines, settings.Servers, settings.RealRouters, settings.Routers = 4000, 7, 64, 900
			},
			func(settings *scalebench.Settings) { settings.RealRouters = 5 },
			func(settings *scalebench.Settings) { settings.Seconds = 1000 },
			func(settings *scalebench.Settings) { settings.Parameter = "mood" },
			func(settings *scalebench.Settings) {
				settings.Parameter, settings.Values = "daemons", []float64{4, 4000}
			},
		} {
			settings := valid
			makeInvalid(&settings)
			So(errcode.CodeOf(settings.Validate(), errcode.OK), ShouldEqual, errcode.InvalidSetting)
		}
	})
}

func TestFitLine_ReportsGrowthExponent(t *testing.T) {
	Convey("linear growth has exponent 1 and no error; quadratic growth has exponent 2", t, func() {
		line := scalebench.FitLine([]float64{10, 20, 40, 80}, []float64{20, 40, 80, 160})
		So(line.Slope, ShouldAlmostEqual, 2, 1e-9)
		So(line.Offset, ShouldAlmostEqual, 0, 1e-9)
		So(line.MaxRelativeError, ShouldAlmostEqual, 0, 1e-9)
		So(line.GrowthExponent, ShouldAlmostEqual, 1, 1e-9)
		square := scalebench.FitLine([]float64{10, 20, 40, 80}, []float64{1, 4, 16, 64})
		So(square.GrowthExponent, ShouldAlmostEqual, 2, 1e-9)
		So(square.MaxRelativeError, ShouldBeGreaterThan, 0.5)
	})
}
