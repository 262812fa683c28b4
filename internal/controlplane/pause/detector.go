// Package pause detects that the process was suspended for a while, as happens when its virtual
// machine is frozen and resumed. The monotonic clock goes on during such a pause.
//
// The owner of a Detector calls RecordTick every CheckInterval while the process runs, and asks
// RecentlyPaused before it acts on a request that may have waited in a socket during the pause.
package pause

import (
	"sync/atomic"

	"coursepass/internal/clock"
)

const (
	// CheckInterval is the time between two calls of RecordTick.
	CheckInterval = 250 * clock.Millisecond
	// Threshold is how long a tick may be overdue before the process counts as paused. It is
	// shorter than the second after which clients give a request up.
	Threshold = 750 * clock.Millisecond
	// DistrustPeriod is how long after a pause requests are distrusted: they may have waited in
	// the sockets of the process since before the pause.
	DistrustPeriod = clock.Second
)

// Detector tells whether the process was paused recently. Its zero value is ready for use, and its
// methods may be called from several goroutines.
type Detector struct {
	// lastTick and resumedAt are times of the monotonic clock in microseconds, 0 for never.
	lastTick  atomic.Int64
	resumedAt atomic.Int64
}

// RecordTick notes that the process runs at the given time.
func (d *Detector) RecordTick(now clock.Microseconds) {
	if d.isOverdue(now) {
		d.RecordResume(now)
	}
	d.lastTick.Store(int64(now))
}

// RecordResume notes that a pause ended at the given time.
func (d *Detector) RecordResume(now clock.Microseconds) {
	d.resumedAt.Store(int64(now))
}

// RecentlyPaused tells whether a pause ended within DistrustPeriod. It is right from the first
// moment after a pause, whether or not a tick has been recorded since.
func (d *Detector) RecentlyPaused(now clock.Microseconds) bool {
	if d.isOverdue(now) {
		return true
	}
	resumedAt := clock.Microseconds(d.resumedAt.Load())
	return resumedAt > 0 && now-resumedAt < DistrustPeriod
}

func (d *Detector) isOverdue(now clock.Microseconds) bool {
	lastTick := clock.Microseconds(d.lastTick.Load())
	return lastTick > 0 && now-lastTick > Threshold
}
