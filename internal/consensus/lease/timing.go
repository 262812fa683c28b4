package lease

import "coursepass/internal/clock"

// Timing holds the durations that must be the same for all granters and leaders of a cluster.
type Timing struct {
	// LeaseDuration is the duration of a lease, counted from the request.
	LeaseDuration clock.Microseconds
	// SafetyMargin is the time by which a granter keeps a grant longer than LeaseDuration, and by
	// which a leader uses it for a shorter time.
	SafetyMargin clock.Microseconds
}
