package lease

import "coursepass/internal/clock"

// Timing are the durations that all granters and leaders of a cluster must share.
type Timing struct {
	// LeaseDuration is how long a lease lasts from the request on.
	LeaseDuration clock.Microseconds
	// SafetyMargin is by how much a granter keeps a grant longer, and a leader uses it shorter.
	SafetyMargin clock.Microseconds
}
