// Package topology knows which machine stands in which hall and counts the bytes
// that cross between halls.
package topology

import (
	"sync"
	"sync/atomic"
)

// TrafficMeter counts what one daemon sends and receives.
type TrafficMeter struct {
	LocalZone        string
	IntraZoneBytes   atomic.Int64
	CrossZoneBytes   atomic.Int64
	UnknownZoneBytes atomic.Int64
	Calls            atomic.Int64
	zoneByAddress    sync.Map
}

// NewTrafficMeter counts for a daemon in the home hall.
func NewTrafficMeter(localZone string) *TrafficMeter { return &TrafficMeter{LocalZone: localZone} }

// SetZone notes the hall of an address.
func (t *TrafficMeter) SetZone(address, zone string) {
	if address != "" && zone != "" {
		t.zoneByAddress.Store(address, zone)
	}
}

// ZoneOf is the hall of an address, empty when not known.
func (t *TrafficMeter) ZoneOf(address string) string {
	zone, known := t.zoneByAddress.Load(address)
	if !known {
		return ""
	}
	return zone.(string)
}

// AddBytes adds bytes exchanged with an address that was called.
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
