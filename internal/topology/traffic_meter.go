// Package topology maps zones to regions and counts a daemon's network traffic by zone, since
// bytes between zones are billed and slower than those within one.
//
// Whoever learns the zone of an address registers it with [TrafficMeter.SetZone]; connections
// then add the bytes they exchange with that address.
package topology

import (
	"sync"
	"sync/atomic"
)

// TrafficMeter counts what one daemon exchanges over the connections that it opened. It may
// be used by several goroutines.
type TrafficMeter struct {
	// LocalZone is the daemon's own zone; it does not change.
	LocalZone string
	// IntraZoneBytes, CrossZoneBytes and UnknownZoneBytes count bytes in both directions.
	IntraZoneBytes   atomic.Int64
	CrossZoneBytes   atomic.Int64
	UnknownZoneBytes atomic.Int64
	// Calls counts calls to other daemons.
	Calls atomic.Int64
	// zoneByAddress maps an address (string) to its zone (string).
	zoneByAddress sync.Map
}

// NewTrafficMeter returns a meter for a daemon in the zone.
func NewTrafficMeter(localZone string) *TrafficMeter { return &TrafficMeter{LocalZone: localZone} }

// SetZone registers the zone of an address. An empty address or zone is ignored.
func (t *TrafficMeter) SetZone(address, zone string) {
	if address != "" && zone != "" {
		t.zoneByAddress.Store(address, zone)
	}
}

// ZoneOf returns the zone of an address, empty if it is unknown.
func (t *TrafficMeter) ZoneOf(address string) string {
	zone, known := t.zoneByAddress.Load(address)
	if !known {
		return ""
	}
	return zone.(string)
}

// AddBytes counts bytes that were sent to or received from an address.
func (t *TrafficMeter) AddBytes(address string, bytes int) {
	switch t.ZoneOf(address) {
	case t.LocalZone:
		t.IntraZoneBytes.Add(int64(bytes))
	case "":
		t.UnknownZoneBytes.Add(int64(bytes))
	default:
		t.CrossZoneBytes.Add(int64(bytes))
	}
}
