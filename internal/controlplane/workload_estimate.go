package controlplane

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// workloadWindow is how long work weighs in the share of a part.
	workloadWindow = 6 * clock.Second
	// minWorkloadPerSecond is how much work must be told, for each second of the span, before it counts.
	minWorkloadPerSecond = 100 * clock.Millisecond
	// prefillWeight counts reading more than making: prompts are read one after another, while
	// an engine makes many answers at once, so readers must stand idle more of the time.
	prefillWeight = 2
)

// workloadEstimate weighs the work of a service's two parts, as all routers tell it.
type workloadEstimate struct {
	updatedAt       clock.Microseconds
	prefill, decode float64
	lastReported    map[string]registry.BusyTime
}

// reportedWork is what each router that was heard lately has told, by router and life.
func (s *Server) reportedWork(now clock.Microseconds) map[string][]registry.BusyTime {
	s.lock.Lock()
	defer s.lock.Unlock()
	workByRouter := map[string][]registry.BusyTime{}
	for name, record := range s.routers {
		if now-record.lastSeen <= routerTimeout {
			workByRouter[name] = record.work
		}
	}
	return workByRouter
}

func (d *directorySync) workload(service string) *workloadEstimate {
	estimate, exists := d.workloads[service]
	if !exists {
		estimate = &workloadEstimate{lastReported: map[string]registry.BusyTime{}}
		d.workloads[service] = estimate
	}
	return estimate
}

func (d *directorySync) recordWork(now clock.Microseconds, work map[string][]registry.BusyTime) {
	for _, estimate := range d.workloads {
		estimate.decay(now)
	}
	for router, reports := range work {
		for _, report := range reports {
			d.workload(report.Service).record(router, report)
		}
	}
}

func (w *workloadEstimate) decay(now clock.Microseconds) {
	decayFactor := max(1-float64(now-w.updatedAt)/float64(workloadWindow), 0)
	w.updatedAt, w.prefill, w.decode = now, w.prefill*decayFactor, w.decode*decayFactor
}

// record adds what a router had engines do since it was heard last. One that starts anew
// begins at nothing, and one that is new here tells no difference yet.
func (w *workloadEstimate) record(router string, current registry.BusyTime) {
	previous, exists := w.lastReported[router]
	w.lastReported[router] = current
	if !exists {
		return
	}
	if current.Read < previous.Read || current.Made < previous.Made {
		previous = registry.BusyTime{}
	}
	w.prefill += prefillWeight * float64(current.Read-previous.Read)
	w.decode += float64(current.Made - previous.Made)
}

// prefillFraction is the share of reading in all the work, or the usual percentage as long as too
// little is told, since parts are best set before callers come; false if there is none.
func (w *workloadEstimate) prefillFraction(defaultPercent int) (float64, bool) {
	total := w.prefill + w.decode
	if total < float64(minWorkloadPerSecond)*float64(workloadWindow)/float64(clock.Second) {
		return float64(defaultPercent) / 100, defaultPercent > 0
	}
	return w.prefill / total, true
}
