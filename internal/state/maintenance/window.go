// Package maintenance schedules the drain of regions. A [Window] announces that a region
// will be drained; a [Tracker] in each daemon tells by the daemon's own clock when the region
// gets no new work and when each live session must leave it.
//
// A daemon calls [Tracker.Update] with all windows in force whenever the configuration
// changes, and asks the other methods as it places work. The package reads no clock: each
// call is given the time.
//
// Log entries and snapshots hold a [WindowWire], whose field names are part of these formats.
package maintenance

import "coursepass/internal/clock"

// Phase is the progress of a maintenance window. It only ever becomes later.
type Phase int

// The phases. The values are part of the log format.
const (
	// PhaseAnnounced lasts until the window begins.
	PhaseAnnounced Phase = iota
	// PhaseStarted lasts while sessions are moved out of the region.
	PhaseStarted
	// PhaseEnded means that no session is left.
	PhaseEnded
)

const (
	secondsPerDay = 24 * 3600
	// MaxDuration is the longest time until a window begins, and the longest that it lasts.
	MaxDuration = secondsPerDay * clock.Second
	// LeadTime is how long before the beginning of a window its region gets no new work any
	// more: a request that was forwarded, or is prefilled in another region first, still
	// arrives in time.
	LeadTime = 500 * clock.Millisecond
)

// Window is the announced drain of a region. Times are relative, since daemons share no clock.
type Window struct {
	Region string `json:"region"`
	// Key is the operator's idempotency key of the operation that scheduled the window.
	Key string `json:"key"`
	// StartsAfter is the time from when a daemon learns of the window to its beginning, and Duration
	// the duration from then on.
	StartsAfter clock.Microseconds `json:"beginsMicroseconds"`
	Duration    clock.Microseconds `json:"windowMicroseconds"`
	// Revision is that of the operation that scheduled the window, and identifies it.
	Revision uint64 `json:"sequence"`
	// Phase is what the leader has recorded, for daemons that learn of the window late.
	Phase Phase `json:"phase"`
}
