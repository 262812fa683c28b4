package router

import "coursepass/internal/topology"

// Meter counts what this router uses. Whoever opens or accepts connections for it counts them there.
func (r *Router) Meter() *topology.TrafficMeter { return r.meter }
