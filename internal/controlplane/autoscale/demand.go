package autoscale

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// minRateSpan is the shortest time between two reports of a router that tell its rate.
const minRateSpan = clock.Second

// RouterReport is the last report of a router. Its busy times are cumulative since the router started.
type RouterReport struct {
	Router     string
	ReportedAt clock.Microseconds
	BusyTimes  []registry.BusyTime
}

// Load is how many engines are kept busy on average, by kind of work.
type Load struct {
	Prefill float64
	Decode  float64
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Prefill: l.Prefill + other.Prefill, Decode: l.Decode + other.Decode}
}

// Scale returns a multiple of the load.
func (l Load) Scale(factor float64) Load {
	return Load{Prefill: l.Prefill * factor, Decode: l.Decode * factor}
}

// IsZero reports whether there is no load at all.
func (l Load) IsZero() bool { return l.Prefill == 0 && l.Decode == 0 }

// Coverage tells how much of the demand is known.
type Coverage int

// The coverages.
const (
	// CoverageMissing means that no router has reported lately.
	CoverageMissing Coverage = iota
	// CoveragePartial means that some routers are silent or have not been measured yet.
	CoveragePartial
	// CoverageComplete means that all routers report.
	CoverageComplete
)

// Demand is the measured load of a service.
type Demand struct {
	Load
	Coverage Coverage
}

// demandTracker measures the load of services from the reports of routers.
type demandTracker struct {
	options Options
	routers map[string]*routerHistory
}

// routerHistory has what a router has reported lately.
type routerHistory struct {
	// reported are the counters of the last report, by service.
	reported map[string]registry.BusyTime
	// samples are the work since the first report, oldest first. The first sample is the reference of the rate.
	samples []workSample
}

// workSample is the work of a router until a moment, by service.
type workSample struct {
	at   clock.Microseconds
	work map[string]registry.BusyTime
}

func newDemandTracker(options Options) *demandTracker {
	return &demandTracker{options: options, routers: map[string]*routerHistory{}}
}

// record adds the reports that are newer than those known, and forgets routers that have been silent for long.
func (t *demandTracker) record(now clock.Microseconds, reports []RouterReport) {
	for _, report := range reports {
		history, known := t.routers[report.Router]
		if !known {
			history = &routerHistory{}
			t.routers[report.Router] = history
		}
		history.record(report, t.options.RateWindow)
	}
	maps.DeleteFunc(t.routers, func(_ string, history *routerHistory) bool {
		return now-history.reportedAt() > t.options.RememberFor
	})
}

func (h *routerHistory) reportedAt() clock.Microseconds { return h.samples[len(h.samples)-1].at }

// record adds a report. The first one of a router sets only the point of reference.
func (h *routerHistory) record(report RouterReport, window clock.Microseconds) {
	if len(h.samples) > 0 && report.ReportedAt <= h.reportedAt() {
		return
	}
	reported := map[string]registry.BusyTime{}
	for _, busyTime := range report.BusyTimes {
		reported[busyTime.Service] = busyTime
	}
	work := map[string]registry.BusyTime{}
	if len(h.samples) > 0 {
		work = maps.Clone(h.samples[len(h.samples)-1].work)
		for service, current := range reported {
			work[service] = addWork(work[service], h.reported[service], current)
		}
	}
	h.reported = reported
	h.samples = append(h.samples, workSample{at: report.ReportedAt, work: work})
	for len(h.samples) > 1 && h.samples[1].at <= report.ReportedAt-window {
		h.samples = h.samples[1:]
	}
}

// addWork adds the work between two reports. A router that has restarted counts from zero.
func addWork(total, previous, current registry.BusyTime) registry.BusyTime {
	if current.Prefill < previous.Prefill || current.Decode < previous.Decode {
		previous = registry.BusyTime{}
	}
	total.Prefill += current.Prefill - previous.Prefill
	total.Decode += current.Decode - previous.Decode
	return total
}

// rate returns the load that the router causes; false if it has not been measured yet.
func (h *routerHistory) rate(service string) (Load, bool) {
	first, last := h.samples[0], h.samples[len(h.samples)-1]
	elapsed := last.at - first.at
	if elapsed < minRateSpan {
		return Load{}, false
	}
	before, after := first.work[service], last.work[service]
	return Load{
		Prefill: float64(after.Prefill-before.Prefill) / float64(elapsed),
		Decode:  float64(after.Decode-before.Decode) / float64(elapsed),
	}, true
}

// demand returns the present load of a service. The routers are added up in the order of their names, so that
// the sum does not depend on the order of the reports.
func (t *demandTracker) demand(now clock.Microseconds, service string) Demand {
	total, reporting, complete := Load{}, 0, true
	for _, name := range slices.Sorted(maps.Keys(t.routers)) {
		history := t.routers[name]
		weight := t.weight(now - history.reportedAt())
		rate, measured := history.rate(service)
		if weight > 0 {
			total = total.Add(rate.Scale(weight))
			complete = complete && measured && weight == 1
		}
		if weight == 1 {
			reporting++
		}
	}
	switch {
	case reporting == 0:
		return Demand{Load: total, Coverage: CoverageMissing}
	case !complete || float64(reporting) < t.options.MinReporting*float64(len(t.routers)):
		return Demand{Load: total, Coverage: CoveragePartial}
	default:
		return Demand{Load: total, Coverage: CoverageComplete}
	}
}

// weight returns how much the rate of a router counts that has been silent for some time.
func (t *demandTracker) weight(silence clock.Microseconds) float64 {
	fading := float64(t.options.ForgetAfter - t.options.SilentAfter)
	left := float64(t.options.ForgetAfter - silence)
	switch {
	case silence <= t.options.SilentAfter:
		return 1
	case fading <= 0:
		return 0
	default:
		return max(left/fading, 0)
	}
}
