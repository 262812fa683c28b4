package engineplan

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// workloadWindow is the time in which recorded work decays to nothing.
	workloadWindow = 6 * clock.Second
	// minWorkloadPerSecond is the work that must be recorded for each second of the window before
	// an estimate is used.
	minWorkloadPerSecond = 100 * clock.Millisecond
	// prefillWeight weighs prefill time more than decode time: an engine prefills one prompt after
	// another but decodes many answers at once, so prefill engines need more idle time.
	prefillWeight = 2
	// percent is the denominator of a percentage.
	percent = 100
)

// PrefillShare is the share of prefill in the work of a service.
type PrefillShare struct {
	// Fraction lies between 0 and 1. It is meaningless unless Known.
	Fraction float64
	Known    bool
}

// Workloads estimates the prefill and decode work of services from what routers report.
type Workloads struct {
	estimates map[string]*workloadEstimate
}

// NewWorkloads returns estimates that know nothing yet.
func NewWorkloads() *Workloads {
	return &Workloads{estimates: map[string]*workloadEstimate{}}
}

// Record adds the busy times that routers report, by router. They are cumulative since the start of
// the router's process.
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

// PrefillShare returns the share of prefill in the work of a service, or the given percentage as long
// as too little work is recorded, since roles are best assigned before the first requests arrive. A
// percentage of 0 stands for none.
func (w *Workloads) PrefillShare(service string, defaultPercent int) PrefillShare {
	return w.estimate(service).prefillShare(defaultPercent)
}

func (w *Workloads) estimate(service string) *workloadEstimate {
	estimate, exists := w.estimates[service]
	if !exists {
		estimate = &workloadEstimate{lastReported: map[string]registry.BusyTime{}}
		w.estimates[service] = estimate
	}
	return estimate
}

// workloadEstimate is the weighted, decaying work of one service.
type workloadEstimate struct {
	updatedAt       clock.Microseconds
	prefill, decode float64
	lastReported    map[string]registry.BusyTime
}

func (w *workloadEstimate) decay(now clock.Microseconds) {
	decayFactor := max(1-float64(now-w.updatedAt)/float64(workloadWindow), 0)
	w.updatedAt = now
	w.prefill *= decayFactor
	w.decode *= decayFactor
}

// record adds the work since the router's previous report. A router that has restarted counts from
// zero; the first report of a router only sets the point of reference.
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

func (w *workloadEstimate) prefillShare(defaultPercent int) PrefillShare {
	total := w.prefill + w.decode
	if total < float64(minWorkloadPerSecond)*float64(workloadWindow)/float64(clock.Second) {
		return PrefillShare{Fraction: float64(defaultPercent) / percent, Known: defaultPercent > 0}
	}
	return PrefillShare{Fraction: w.prefill / total, Known: true}
}
