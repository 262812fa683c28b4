package engineplan

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// workloadWindow is the time in which recorded work decays to zero. Each call of Record reduces the
	// recorded work by the fraction (time since the previous call)/workloadWindow.
	workloadWindow = 6 * clock.Second
	// minWorkloadPerSecond is the minimum weighted work per second of workloadWindow. The estimate is used
	// only if at least this much work is recorded.
	minWorkloadPerSecond = 100 * clock.Millisecond
	// prefillWeight is the weight of prefill time relative to decode time. It is greater than 1 because an
	// engine prefills one prompt at a time but decodes many responses at once, so prefill engines need more
	// idle time.
	prefillWeight = 2
	// percent is the denominator of a percentage.
	percent = 100
)

// PrefillShare is the fraction of a service's work that is prefill.
type PrefillShare struct {
	// Fraction is between 0 and 1. It is valid only if Known is set.
	Fraction float64
	Known    bool
}

// Workloads estimates the prefill and decode work of services from the reports of routers.
type Workloads struct {
	estimates map[string]*workloadEstimate
}

// NewWorkloads returns estimates without recorded work.
func NewWorkloads() *Workloads {
	return &Workloads{estimates: map[string]*workloadEstimate{}}
}

// Record adds the busy times that routers report, by router. Reported times are cumulative since the start
// of the router's process.
func (w *Workloads) Record(now clock.Microseconds, reportsByRouter map[string][]registry.BusyTime) {
	for _, estimate := range w.estimates {
		estimate.decay(now)
	}
	for router, reports := range reportsByRouter {
		for _, report := range reports {
			w.estimate(report.Service).record(router, report)
		}
	}
}

// PrefillShare returns the share of prefill in the work of a service. While too little work is recorded, it
// returns the given default percentage, so that roles can be assigned before the first requests arrive. 0
// means that there is no default, and the share is unknown.
func (w *Workloads) PrefillShare(service string, defaultPercent int) PrefillShare {
	return w.estimate(service).prefillShare(defaultPercent)
}

// estimate returns the estimate of a service, and creates it if it does not exist yet.
func (w *Workloads) estimate(service string) *workloadEstimate {
	estimate, exists := w.estimates[service]
	if !exists {
		estimate = &workloadEstimate{lastReported: map[string]registry.BusyTime{}}
		w.estimates[service] = estimate
	}
	return estimate
}

// workloadEstimate is the weighted and decaying amount of work of one service.
type workloadEstimate struct {
	// updatedAt is when the work last decayed.
	updatedAt clock.Microseconds
	// prefill and decode are the recorded work in microseconds.
	prefill, decode float64
	// lastReported is the last report of each router.
	lastReported map[string]registry.BusyTime
}

// decay reduces the recorded work linearly by the time since the last decay.
func (w *workloadEstimate) decay(now clock.Microseconds) {
	decayFactor := max(1-float64(now-w.updatedAt)/float64(workloadWindow), 0)
	w.updatedAt = now
	w.prefill *= decayFactor
	w.decode *= decayFactor
}

// record adds the work since the router's previous report. The first report of a router adds nothing and
// only serves as the baseline. After a restart a router's counts start from zero, so a report with lower
// counts than the previous one is added in full.
func (w *workloadEstimate) record(router string, current registry.BusyTime) {
	previous, exists := w.lastReported[router]
	w.lastReported[router] = current
	if !exists {
		return
	}
	if current.Prefill < previous.Prefill || current.Decode < previous.Decode {
		previous = registry.BusyTime{}
	}
	w.prefill += prefillWeight * float64(current.Prefill-previous.Prefill)
	w.decode += float64(current.Decode - previous.Decode)
}

// prefillShare returns the share of prefill in the recorded work, or the default while too little is recorded.
func (w *workloadEstimate) prefillShare(defaultPercent int) PrefillShare {
	total := w.prefill + w.decode
	if total < float64(minWorkloadPerSecond)*float64(workloadWindow)/float64(clock.Second) {
		return PrefillShare{Fraction: float64(defaultPercent) / percent, Known: defaultPercent > 0}
	}
	return PrefillShare{Fraction: w.prefill / total, Known: true}
}
