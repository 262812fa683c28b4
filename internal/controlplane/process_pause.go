package controlplane

import (
	"sync/atomic"

	"coursepass/internal/clock"
)

const (
	// pauseCheckInterval is how often a process notes that it runs.
	pauseCheckInterval = 250 * clock.Millisecond
	// pauseThreshold is how long a note may be overdue before the process is taken to have
	// stood still. Callers give an order up after a second of silence.
	pauseThreshold = 750 * clock.Millisecond
	// distrustAfterPause is how long a process distrusts the orders that it reads once it runs
	// again: they may have waited in its sockets all the while.
	distrustAfterPause = clock.Second
)

// pauseDetector tells whether the process has lately stood still, as a frozen machine does.
// The steady clock goes on in the meantime.
type pauseDetector struct {
	lastTick  atomic.Int64
	resumedAt atomic.Int64
}

// recordTick is called every standstillTick while the process runs.
func (p *pauseDetector) recordTick(now clock.Microseconds) {
	if p.isOverdue(now) {
		p.resumedAt.Store(int64(now))
	}
	p.lastTick.Store(int64(now))
}

// recentlyPaused is right at once after the process runs again, whether or not the first note
// came before the question.
func (p *pauseDetector) recentlyPaused(now clock.Microseconds) bool {
	resumedAt := p.resumedAt.Load()
	return p.isOverdue(now) || resumedAt > 0 && now-clock.Microseconds(resumedAt) < distrustAfterPause
}

func (p *pauseDetector) isOverdue(now clock.Microseconds) bool {
	lastTick := p.lastTick.Load()
	return lastTick > 0 && now-clock.Microseconds(lastTick) > pauseThreshold
}
