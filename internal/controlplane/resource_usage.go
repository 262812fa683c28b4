package controlplane

import (
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// Meter returns the meter of this server's resource usage. Callers that open or accept connections for this server must
// count them with the meter.
func (s *Server) Meter() *topology.TrafficMeter { return s.meter }

// resourceSnapshot returns the resource usage of this server since its start.
func (s *Server) resourceSnapshot() resources.Snapshot {
	return s.meter.Resources.Snapshot(s.clock.Now())
}

// resourceReporter returns a reporter that logs the resource usage of this server.
func (s *Server) resourceReporter() resources.Reporter {
	return resources.Reporter{
		Role:     string(s.Role),
		Name:     s.Name,
		Interval: s.ResourceLogInterval(),
		Read:     s.resourceSnapshot,
	}
}
