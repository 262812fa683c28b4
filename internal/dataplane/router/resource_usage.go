package router

import (
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// Meter returns the meter of this router's resource usage. Code that opens or accepts connections for
// the router must count them with this meter.
func (r *Router) Meter() *topology.TrafficMeter { return r.meter }

// resourceSnapshot returns the router's resource usage since its start.
func (r *Router) resourceSnapshot() resources.Snapshot {
	return r.meter.Resources.Snapshot(r.clock.Now())
}

// resourceReporter returns a reporter that logs the router's resource usage at the interval of the
// settings.
func (r *Router) resourceReporter() resources.Reporter {
	return resources.Reporter{
		Role:     string(r.Role),
		Name:     r.Name,
		Interval: r.ResourceLogInterval(),
		Read:     r.resourceSnapshot,
	}
}
