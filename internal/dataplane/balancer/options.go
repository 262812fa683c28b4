package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/topology"
)

// Options configure a Balancer. They do not change once it is made.
type Options struct {
	// Router is the name of this router, unlike that of any other.
	Router string
	// Zone is the zone of this router.
	Zone string
	// Regions are the regions of all zones. The default nil puts all zones into one region that has
	// no name.
	Regions topology.RegionMap
	// WarmupOverrun and WarmupSlack limit what all routers together send to an engine that is warming
	// up, in requests per second: WarmupOverrun times the service's rate for such engines, plus half
	// of WarmupSlack. With the default 0 of both, such engines get no requests if the service has a
	// rate for them.
	WarmupOverrun float64
	WarmupSlack   float64
	// CrossZoneCost is what sending a kibibyte of a request to another zone costs, in microseconds.
	// With the default 0 only the latency between zones counts.
	CrossZoneCost clock.Microseconds
	// PlacesForAll says that all routers' requests are placed here: what this balancer has not placed at an
	// engine is not there. The default false stands for a router that knows only its own requests.
	PlacesForAll bool
	// CrossRegionLatency is how much longer a response from another region takes, in microseconds.
	// The default is 0.
	CrossRegionLatency clock.Microseconds
}
