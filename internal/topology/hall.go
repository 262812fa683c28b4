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
func (t *Meter) Know(address, name string) {
	if address != "" && name != "" {
		t.places.Store(address, name)
	}
}

// Of is the hall of an address, empty when not known.
func (t *Meter) Of(address string) string {
	name, known := t.places.Load(address)
	if !known {
		return ""
	}
	return name.(string)
}

// Count adds bytes exchanged with an address that was called.
func (t *Meter) Count(address string, bytes int) {
	switch t.Of(address) {
	case t.Home:
		t.Inside.Add(int64(bytes))
	case "":
		t.Unknown.Add(int64(bytes))
	default:
		t.Across.Add(int64(bytes))
	}
}
