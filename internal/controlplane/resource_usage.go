package controlplane

import (
	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// Meter counts what this server uses. Whoever opens or accepts connections for it counts them there.
func (s *Server) Meter() *topology.TrafficMeter { return s.meter }

// resourceSnapshot returns what this server has used since its start.
func (s *Server) resourceSnapshot() resources.Snapshot {
	return s.meter.Resources.Snapshot(s.clock.Now())
}

// resourceReporter logs what this server uses.
func (s *Server) resourceReporter() resources.Reporter {
	return resources.Reporter{
		Role:     string(s.Role),
		Name:     s.Name,
		Interval: s.ResourceLogInterval(),
		Read:     s.resourceSnapshot,
	}
}
