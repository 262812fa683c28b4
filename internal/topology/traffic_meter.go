// Package topology maps zones to regions, and counts a daemon's network traffic by zone, since
// bytes between zones are billed and slower than those within one.
//
// Whoever learns the zone of an address registers it with [TrafficMeter.SetZone], or with
// [TrafficMeter.SetDaemonZone] if it is a daemon, which opens connections itself; connections
// then count the bytes they exchange with that address.
package topology

import (
	"net"
	"sync"
	"sync/atomic"

	"coursepass/internal/metrics/resources"
)

// TrafficMeter counts what one daemon uses, and knows the zones of those it exchanges bytes
// with. It may be used by several goroutines.
type TrafficMeter struct {
	// LocalZone is the daemon's own zone; it does not change.
	LocalZone string
	// Calls counts calls to other daemons.
	Calls atomic.Int64
	// Resources are the counters of the connections that are opened here, and all others of the
	// daemon.
	Resources resources.Counters
	// zoneByAddress maps an address (string) to its zone (string).
	zoneByAddress sync.Map
	// zoneByHost maps the IP address of a daemon (string) to its zone (string), or to "" if
	// daemons of several zones have it, as those of a fleet on loopback.
	zoneByHost sync.Map
}

// NewTrafficMeter returns a meter for a daemon in the zone.
func NewTrafficMeter(localZone string) *TrafficMeter { return &TrafficMeter{LocalZone: localZone} }

// SetZone registers the zone of an address. An empty address or zone is ignored.
func (t *TrafficMeter) SetZone(address, zone string) {
	if address == "" || zone == "" || t.ZoneOf(address) == zone {
		return
	}
	t.zoneByAddress.Store(address, zone)
}

// SetDaemonZone registers the zone of a daemon at an address, also for the connections that it
// opens to this one.
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

// lookUp returns the string that a map has for a key, empty if it has none.
func lookUp(known *sync.Map, key string) string {
	value, exists := known.Load(key)
	if !exists {
		return ""
	}
	return value.(string)
}

// Dialed counts a connection that this daemon opened to an address.
func (t *TrafficMeter) Dialed(address string, kind resources.Kind) *resources.Connection {
	return t.Resources.Open(resources.Client, kind, func() resources.Zone {
		return t.relationOf(t.ZoneOf(address))
	})
}

// Accepted counts a connection that was opened by a remote address, of whose port nothing is
// known. The zones of callers are unknown.
func (t *TrafficMeter) Accepted(remote string, kind resources.Kind) *resources.Connection {
	host, _, err := net.SplitHostPort(remote)
	if err != nil || kind == resources.Data {
		return t.Resources.Open(resources.Server, kind, nil)
	}
	return t.Resources.Open(resources.Server, kind, func() resources.Zone {
		return t.relationOf(lookUp(&t.zoneByHost, host))
	})
}

// relationOf tells where a zone is as seen from this daemon.
func (t *TrafficMeter) relationOf(zone string) resources.Zone {
	switch zone {
	case "":
		return resources.UnknownZone
	case t.LocalZone:
		return resources.SameZone
	default:
		return resources.OtherZone
	}
}
