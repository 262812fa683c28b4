package controlplane

import "coursepass/internal/topology"

// Meter counts what this server uses. Whoever opens or accepts connections for it counts them there.
func (s *Server) Meter() *topology.TrafficMeter { return s.meter }
