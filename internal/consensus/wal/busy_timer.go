package wal

import (
	"sync/atomic"
	"time"
)

// busyTimer measures for how long the disk has been busy without completing anything. Run
// starts and stops it; any goroutine may read it.
type busyTimer struct {
	since atomic.Pointer[time.Time]
}

// start starts the timer, unless it is running.
func (b *busyTimer) start() {
	now := time.Now()
	b.since.CompareAndSwap(nil, &now)
}

func (b *busyTimer) stop() {
	b.since.Store(nil)
}

func (b *busyTimer) isRunning() bool {
	return b.since.Load() != nil
}

// elapsed returns how long the timer has been running, or 0.
func (b *busyTimer) elapsed() time.Duration {
	since := b.since.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}
