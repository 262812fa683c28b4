// Package hall knows which machine stands in which hall and counts the bytes
// that cross between halls.
package hall

import (
	"sync"
	"sync/atomic"
)

// Meter counts what one daemon sends and receives.
type Meter struct {
	Home    string
	Inside  atomic.Int64
	Across  atomic.Int64
	Unknown atomic.Int64
	Calls   atomic.Int64
	places  sync.Map
}

// NewMeter counts for a daemon in the home hall.
func NewMeter(home string) *Meter { return &Meter{Home: home} }

// Know notes the hall of an address.
func (meter *Meter) Know(address, name string) {
	if address != "" && name != "" {
		meter.places.Store(address, name)
	}
}

// Of is the hall of an address, empty when not known.
func (meter *Meter) Of(address string) string {
	name, known := meter.places.Load(address)
	if !known {
		return ""
	}
	return name.(string)
}

// Count adds bytes exchanged with an address that was called.
func (meter *Meter) Count(address string, bytes int) {
	switch meter.Of(address) {
	case meter.Home:
		meter.Inside.Add(int64(bytes))
	case "":
		meter.Unknown.Add(int64(bytes))
	default:
		meter.Across.Add(int64(bytes))
	}
}
