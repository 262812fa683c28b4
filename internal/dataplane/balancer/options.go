package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/topology"
)

// Options configures a Balancer. It does not change after New.
type Options struct {
	// Router is the unique name of this router.
	Router string
	// Zone is the zone of this router.
	Zone string
	// Regions maps zones to regions. The default nil puts all zones into one region without a name.
	Regions topology.RegionMap
	// WarmupOverrun and WarmupSlack limit the requests per second that all routers together send to an
	// engine that is warming up: WarmupOverrun times the service's WarmUpRate plus half of WarmupSlack.
	// With the default 0 of both, engines that are warming up get no requests if the service has such a
	// rate.
	WarmupOverrun float64
	WarmupSlack   float64
	// CrossZoneCost is the cost of sending a kibibyte of a request to another zone, in microseconds. With
	// the default 0, only the latency between zones counts.
	CrossZoneCost clock.Microseconds
	// PlacesForAll reports whether this balancer places the requests of all routers, as a placement owner
	// does. It then assumes that an engine has no requests and no cached prefixes but those that this
	// balancer has placed there. The default false stands for a router that knows only its own requests.
	PlacesForAll bool
	// CrossRegionLatency is the additional latency of a response from another region, in microseconds.
	// The default is 0.
	CrossRegionLatency clock.Microseconds
}
