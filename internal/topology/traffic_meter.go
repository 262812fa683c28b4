// Package topology maps zones to regions, and counts a daemon's network traffic by zone, because
// traffic between zones is billed and slower than traffic within a zone.
//
// Code that learns the zone of an address registers it with [TrafficMeter.SetZone]. Addresses of
// daemons are registered with [TrafficMeter.SetDaemonZone], because daemons also open connections
// themselves. Connections then count the bytes that they exchange with a registered address for
// its zone.
package topology

import (
	"net"
	"sync"
	"sync/atomic"

	"coursepass/internal/metrics/resources"
)

// TrafficMeter counts the network traffic and the resource usage of one daemon, and stores the
// zones of its peers. It is safe for concurrent use.
type TrafficMeter struct {
	// LocalZone is the daemon's own zone. It never changes.
	LocalZone string
	// Calls counts calls to other daemons.
	Calls atomic.Int64
	// Resources contains the counters of the daemon's connections, and all other resource counters
	// of the daemon.
	Resources resources.Counters
	// zoneByAddress maps an address (string) to its zone (string).
	zoneByAddress sync.Map
	// zoneByHost maps the IP address of a daemon (string) to its zone (string). The zone is "" if
	// daemons of several zones share the IP address, as in a fleet on the loopback interface.
	zoneByHost sync.Map
}

// NewTrafficMeter returns a meter for a daemon in the given zone.
func NewTrafficMeter(localZone string) *TrafficMeter { return &TrafficMeter{LocalZone: localZone} }

// SetZone registers the zone of an address. An empty address or zone is ignored.
func (t *TrafficMeter) SetZone(address, zone string) {
	if address == "" || zone == "" || t.ZoneOf(address) == zone {
		return
	}
	t.zoneByAddress.Store(address, zone)
}

// SetDaemonZone registers the zone of a daemon's address, both for connections to that address
// and for connections that the daemon opens to this one.
func (t *TrafficMeter) SetDaemonZone(address, zone string) {
	t.SetZone(address, zone)
	host, _, err := net.SplitHostPort(address)
	if err != nil || zone == "" {
		return
	}
	if known, exists := t.zoneByHost.LoadOrStore(host, zone); exists && known != zone {
		t.zoneByHost.Store(host, "")
	}
}

// ZoneOf returns the zone of an address, empty if it is unknown.
func (t *TrafficMeter) ZoneOf(address string) string { return lookUp(&t.zoneByAddress, address) }

// lookUp returns the string that a map stores for a key, empty if there is none.
func lookUp(zones *sync.Map, key string) string {
	value, exists := zones.Load(key)
	if !exists {
		return ""
	}
	return value.(string)
}

// Dialed returns the counters of a new connection that this daemon opened to an address.
func (t *TrafficMeter) Dialed(address string, kind resources.Kind) *resources.Connection {
	return t.Resources.Open(resources.Client, kind, func() resources.Zone {
		return t.classifyZone(t.ZoneOf(address))
	})
}

// Accepted returns the counters of a new connection that a remote address opened. The zone is
// looked up by IP address only, because the remote port is ephemeral. Connections of callers
// (resources.Data) count for the unknown zone.
func (t *TrafficMeter) Accepted(remote string, kind resources.Kind) *resources.Connection {
	host, _, err := net.SplitHostPort(remote)
	if err != nil || kind == resources.Data {
		return t.Resources.Open(resources.Server, kind, nil)
	}
	return t.Resources.Open(resources.Server, kind, func() resources.Zone {
		return t.classifyZone(lookUp(&t.zoneByHost, host))
	})
}

// classifyZone returns whether a zone is unknown, the daemon's own zone or another zone.
func (t *TrafficMeter) classifyZone(zone string) resources.Zone {
	switch zone {
	case "":
		return resources.UnknownZone
	case t.LocalZone:
		return resources.SameZone
	default:
		return resources.OtherZone
	}
}
