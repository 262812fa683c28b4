// Package pause detects that the process was suspended for a while, for example because its virtual machine was frozen
// and resumed. The monotonic clock continues during such a pause.
//
// The owner of a Detector calls RecordTick every CheckInterval while the process runs, and calls RecentlyPaused before
// it executes a request that may have waited in a socket during a pause.
package pause

import (
	"sync/atomic"

	"coursepass/internal/clock"
)

const (
	// CheckInterval is the time between two calls of RecordTick.
	CheckInterval = 250 * clock.Millisecond
	// Threshold is the maximum time since the last tick for which the process does not count as paused. It is shorter
	// than the second after which clients give up a request.
	Threshold = 750 * clock.Millisecond
	// StaleRequestPeriod is the time for which RecentlyPaused returns true after a pause, because requests may have
	// waited in the sockets of the process since before the pause.
	StaleRequestPeriod = clock.Second
)

// Detector detects whether the process was paused recently. Its zero value is ready for use, and its methods are safe
// for concurrent use.
type Detector struct {
	// lastTick and resumedAt are the times of the last tick and of the end of the last pause, on the monotonic clock
	// in microseconds. 0 means never.
	lastTick  atomic.Int64
	resumedAt atomic.Int64
}

// RecordTick records that the process is running at the given time.
func (d *Detector) RecordTick(now clock.Microseconds) {
	if d.isOverdue(now) {
		d.RecordResume(now)
	}
	d.lastTick.Store(int64(now))
}

// RecordResume records that a pause ended at the given time.
func (d *Detector) RecordResume(now clock.Microseconds) {
	d.resumedAt.Store(int64(now))
}

// RecentlyPaused reports whether a pause ended within StaleRequestPeriod. The result is correct immediately after a
// pause, even if no tick has been recorded since.
func (d *Detector) RecentlyPaused(now clock.Microseconds) bool {
	if d.isOverdue(now) {
		return true
	}
	resumedAt := clock.Microseconds(d.resumedAt.Load())
	return resumedAt > 0 && now-resumedAt < StaleRequestPeriod
}

func (d *Detector) isOverdue(now clock.Microseconds) bool {
	lastTick := clock.Microseconds(d.lastTick.Load())
	return lastTick > 0 && now-lastTick > Threshold
}
