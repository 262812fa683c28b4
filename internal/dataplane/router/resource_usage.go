package router

import (
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// Meter counts what this router uses. Whoever opens or accepts connections for it counts them there.
func (r *Router) Meter() *topology.TrafficMeter { return r.meter }

// resourceSnapshot returns what this router has used since its start.
func (r *Router) resourceSnapshot() resources.Snapshot {
	return r.meter.Resources.Snapshot(r.clock.Now())
}

// resourceReporter logs what this router uses.
func (r *Router) resourceReporter() resources.Reporter {
	return resources.Reporter{
		Role:     string(r.Role),
		Name:     r.Name,
		Interval: r.ResourceLogInterval(),
		Read:     r.resourceSnapshot,
	}
}
