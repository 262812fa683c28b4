package wal

import (
	"sync/atomic"
	"time"
)

// busyTimer measures how long the disk has been busy without completing an operation. Run starts
// and stops it, and Open starts it on failure; any goroutine may read it.
type busyTimer struct {
	since atomic.Pointer[time.Time]
}

// start starts the timer, unless it is already running.
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

// elapsed returns how long the timer has been running, or 0 if it is stopped.
func (b *busyTimer) elapsed() time.Duration {
	since := b.since.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}
