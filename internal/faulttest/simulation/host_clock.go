package simulation

import (
	"time"

	"coursepass/internal/clock"
)

// Suspend moves the clock of a host forward by a duration that its timers do not count, as a
// suspended machine does.
func (m *MemoryNetwork) Suspend(host string, duration clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.suspendedTime[host] += duration
}

// NewClock makes a clock of the host, which counts the time in suspend.
func (h Host) NewClock() *clock.Clock {
	origin := time.Now()
	return clock.NewFromSource(func() clock.Microseconds {
		h.lock.Lock()
		defer h.lock.Unlock()
		return clock.FromDuration(time.Since(origin)) + h.suspendedTime[h.Name]
	})
}
