// Package maintenance schedules the draining of regions. A [Window] announces that a region
// will be drained. A [Tracker] in each daemon determines, by the daemon's own clock, when the
// region stops getting new work and when each live session must leave the region.
//
// A daemon calls [Tracker.Update] with all current windows whenever the configuration
// changes, and calls the other methods when it places work. The package doesn't read a clock:
// its callers pass the time.
//
// Log entries and snapshots hold a [WindowWire], whose field names are part of these formats.
package maintenance

import "coursepass/internal/clock"

// Phase is the progress of a maintenance window. A window never returns to an earlier phase.
type Phase int

// The phases. The values are part of the log format.
const (
	// PhaseAnnounced lasts until the window starts.
	PhaseAnnounced Phase = iota
	// PhaseStarted lasts while sessions are moved out of the region.
	PhaseStarted
	// PhaseEnded means that no session is left in the region.
	PhaseEnded
)

const (
	secondsPerDay = 24 * 3600
	// MaxDuration is the maximum time until a window starts and the maximum duration of a window.
	MaxDuration = secondsPerDay * clock.Second
	// LeadTime is the time between the moment when a region stops getting new work and the
	// start of its window. A request that was forwarded, or that is prefilled in another region
	// first, still arrives before the window starts.
	LeadTime = 500 * clock.Millisecond
)

// Window is the announced draining of a region. Times are relative, because daemons have no
// common clock.
type Window struct {
	Region string `json:"region"`
	// Key is the operator's idempotency key of the operation that scheduled the window.
	Key string `json:"key"`
	// StartsAfter is the time from the moment when a daemon learns of the window until the window
	// starts.
	StartsAfter clock.Microseconds `json:"beginsMicroseconds"`
	// Duration is the time from the start of the window until its end.
	Duration clock.Microseconds `json:"windowMicroseconds"`
	// Revision is the revision of the operation that scheduled the window. It identifies the
	// window.
	Revision uint64 `json:"sequence"`
	// Phase is the phase that the leader has recorded. A daemon that learns of the window late
	// advances to this phase.
	Phase Phase `json:"phase"`
}
