package autoscale

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// reportAt returns a report of a router for service "s", with busy times in milliseconds.
func reportAt(router string, second float64, prefill, decode clock.Microseconds) RouterReport {
	return RouterReport{
		Router:     router,
		ReportedAt: clock.Microseconds(second * float64(clock.Second)),
		BusyTimes: []registry.BusyTime{{
			Service: "s",
			Prefill: prefill * clock.Millisecond,
			Decode:  decode * clock.Millisecond,
		}},
	}
}

// demandAfter returns the demand at a second, after each report was recorded at the time that it carries.
func demandAfter(second clock.Microseconds, reports ...RouterReport) Demand {
	tracker := newDemandTracker(DefaultOptions())
	for _, report := range reports {
		tracker.record(report.ReportedAt, []RouterReport{report})
	}
	return tracker.demand(second*clock.Second, "s")
}

func TestDemand_AveragesWorkOverWindow(t *testing.T) {
	Convey("work is divided by the time between the reports, and added up over routers", t, func() {
		demand := demandAfter(12,
			reportAt("a", 10, 7000, 0), reportAt("a", 12, 9000, 500),
			reportAt("b", 10.5, 0, 0), reportAt("b", 11.5, 3000, 0))
		So(demand, ShouldResemble, Demand{Load{Prefill: 4, Decode: 0.25}, CoverageComplete})
	})
	Convey("the rate is measured from the last report at or before the start of the window", t, func() {
		demand := demandAfter(9,
			reportAt("a", 1, 0, 0), reportAt("a", 3, 9000, 0), reportAt("a", 5, 9000, 0),
			reportAt("a", 7, 11000, 0), reportAt("a", 9, 13000, 0))
		So(demand.Prefill, ShouldEqual, 1)
	})
	Convey("a router that has restarted counts from zero", t, func() {
		demand := demandAfter(14, reportAt("a", 10, 50_000, 8000), reportAt("a", 12, 1000, 500), reportAt("a", 14, 3000, 500))
		So(demand.Load, ShouldResemble, Load{Prefill: 0.75, Decode: 0.125})
	})
	Convey("a report that is as old as the last recorded one or older is ignored", t, func() {
		demand := demandAfter(12, reportAt("a", 10, 0, 0), reportAt("a", 12, 2000, 0), reportAt("a", 12, 8000, 0), reportAt("a", 11, 9000, 0))
		So(demand.Prefill, ShouldEqual, 1)
	})
	Convey("the sum does not depend on the order of the routers", t, func() {
		tracker := newDemandTracker(DefaultOptions())
		for number := range 20 {
			name := fmt.Sprint(number)
			tracker.record(12*clock.Second, []RouterReport{
				reportAt(name, 10, 0, 0), reportAt(name, 12, clock.Microseconds(1)<<(2*number%13), 7),
			})
		}
		first := tracker.demand(12*clock.Second, "s")
		for range 200 {
			So(tracker.demand(12*clock.Second, "s"), ShouldResemble, first)
		}
	})
	Convey("a service that is missing from a router's report has no load there", t, func() {
		So(demandAfter(12, RouterReport{Router: "a", ReportedAt: 10 * clock.Second}, reportAt("a", 12, 2000, 0)).Prefill, ShouldEqual, 1)
		idle := demandAfter(12, RouterReport{Router: "a", ReportedAt: 10 * clock.Second}, RouterReport{Router: "a", ReportedAt: 12 * clock.Second})
		So(idle, ShouldResemble, Demand{Load{}, CoverageComplete})
	})
}

func TestDemand_Coverage(t *testing.T) {
	steady := func(router string) []RouterReport {
		return []RouterReport{reportAt(router, 10, 0, 0), reportAt(router, 12, 2000, 0)}
	}
	Convey("without a recent report, coverage is missing", t, func() {
		So(demandAfter(12).Coverage, ShouldEqual, CoverageMissing)
		So(demandAfter(17, steady("a")...).Coverage, ShouldEqual, CoverageMissing)
	})
	Convey("a single report of a router gives no rate", t, func() {
		So(demandAfter(12, append(steady("a"), reportAt("b", 12, 5000, 0))...), ShouldResemble,
			Demand{Load{Prefill: 1}, CoveragePartial})
	})
	Convey("the rate of a silent router counts less over time while others take over its callers", t, func() {
		for second, expected := range map[float64]Demand{
			16: {Load{Prefill: 2}, CoverageComplete},
			19: {Load{Prefill: 1.5}, CoveragePartial},
			22: {Load{Prefill: 1}, CoveragePartial},
		} {
			last := reportAt("b", second, clock.Microseconds(second-10)*1000, 0)
			reports := slices.Concat(steady("a"), steady("b"), []RouterReport{last})
			So(demandAfter(clock.Microseconds(second), reports...), ShouldResemble, expected)
		}
	})
	Convey("coverage stays complete if a third of the routers disappear, and is partial with more until they are forgotten", t, func() {
		for remaining, expected := range map[int]Coverage{4: CoverageComplete, 3: CoveragePartial} {
			tracker := newDemandTracker(DefaultOptions())
			for second := range clock.Microseconds(200) {
				reporting := 6
				if second > 20 {
					reporting = remaining
				}
				for number := range reporting {
					report := reportAt(fmt.Sprint(number), float64(second), second*100, 0)
					tracker.record(second*clock.Second, []RouterReport{report})
				}
				if second == 60 {
					So(tracker.demand(second*clock.Second, "s").Coverage, ShouldEqual, expected)
				}
			}
			So(tracker.demand(199*clock.Second, "s").Coverage, ShouldEqual, CoverageComplete)
		}
	})
}
