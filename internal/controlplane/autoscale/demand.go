package autoscale

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// minRateSpan is the minimum time between the first and the last report of a router from which its rate is
// computed.
const minRateSpan = clock.Second

// RouterReport is the last report of a router. Its busy times are counters that start at zero with the router.
type RouterReport struct {
	Router     string
	ReportedAt clock.Microseconds
	BusyTimes  []registry.BusyTime
}

// Load is the average number of busy engines, by kind of work.
type Load struct {
	Prefill float64
	Decode  float64
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Prefill: l.Prefill + other.Prefill, Decode: l.Decode + other.Decode}
}

// Scale returns the load multiplied by a factor.
func (l Load) Scale(factor float64) Load {
	return Load{Prefill: l.Prefill * factor, Decode: l.Decode * factor}
}

// IsZero reports whether there is neither prefill nor decode load.
func (l Load) IsZero() bool { return l.Prefill == 0 && l.Decode == 0 }

// Coverage is the extent to which the demand is known.
type Coverage int

// The values of Coverage.
const (
	// CoverageMissing means that no router has reported within SilentAfter.
	CoverageMissing Coverage = iota
	// CoveragePartial means that too many routers are silent, that the last rate of a silent one still counts, or that
	// the rate of a router is not known yet.
	CoveragePartial
	// CoverageComplete means that enough routers report, and that the rate of each is known.
	CoverageComplete
)

// Demand is the measured load of a service.
type Demand struct {
	Load
	Coverage Coverage
}

// demandTracker computes the load of services from the reports of routers.
type demandTracker struct {
	options Options
	routers map[string]*routerHistory
}

// routerHistory holds the recent reports of one router.
type routerHistory struct {
	// lastCounters holds the counters of the last report, by service.
	lastCounters map[string]registry.BusyTime
	// samples holds the work done since the first report, oldest first. The rate is computed between the first and
	// the last sample.
	samples []workSample
}

// workSample is the total work of a router up to a point in time, by service.
type workSample struct {
	at   clock.Microseconds
	work map[string]registry.BusyTime
}

func newDemandTracker(options Options) *demandTracker {
	return &demandTracker{options: options, routers: map[string]*routerHistory{}}
}

// record adds the reports that are newer than the last known ones, and removes routers that have been silent for
// longer than RememberFor.
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

// record adds a report, unless a report of the same or a later time is known. The first report of a router only
// sets the reference for the following ones.
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
			work[service] = addWork(work[service], h.lastCounters[service], current)
		}
	}
	h.lastCounters = reported
	h.samples = append(h.samples, workSample{at: report.ReportedAt, work: work})
	for len(h.samples) > 1 && h.samples[1].at <= report.ReportedAt-window {
		h.samples = h.samples[1:]
	}
}

// addWork adds the work done between two reports to a total. A counter that has decreased belongs to a router that
// was restarted; such a router counts from zero.
func addWork(total, previous, current registry.BusyTime) registry.BusyTime {
	if current.Prefill < previous.Prefill || current.Decode < previous.Decode {
		previous = registry.BusyTime{}
	}
	total.Prefill += current.Prefill - previous.Prefill
	total.Decode += current.Decode - previous.Decode
	return total
}

// rate returns the load that the router causes, and false if it can't be computed yet.
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

// demand returns the present load of a service. The loads of the routers are added in the order of their names, so
// that the floating-point sum does not depend on the order of the reports.
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

// weight returns the factor, from 0 to 1, for the rate of a router whose last report is as old as silence: 1 up to
// SilentAfter, then decreasing linearly to 0 at ForgetAfter.
func (t *demandTracker) weight(silence clock.Microseconds) float64 {
	fadeDuration := float64(t.options.ForgetAfter - t.options.SilentAfter)
	left := float64(t.options.ForgetAfter - silence)
	switch {
	case silence <= t.options.SilentAfter:
		return 1
	case fadeDuration <= 0:
		return 0
	default:
		return max(left/fadeDuration, 0)
	}
}
