package simulation

import (
	"time"

	"coursepass/internal/clock"
)

// Suspend moves a machine's clock on by a span that its timers do not count.
func (m *MemoryNetwork) Suspend(host string, duration clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.suspendedTime[host] += duration
}

// NewClock is the machine's clock, which counts the time in suspend.
func (h Host) NewClock() *clock.Clock {
	origin := time.Now()
	return clock.NewFromSource(func() clock.Microseconds {
		h.lock.Lock()
		defer h.lock.Unlock()
		return clock.FromDuration(time.Since(origin)) + h.suspendedTime[h.Name]
	})
}
