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

// StepWallClock has the wall clock of a host jump by a duration, in either direction.
func (m *MemoryNetwork) StepWallClock(host string, by clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.wallClockErrors[host] += by
}

// WallClock returns what the wall clock of the host shows.
func (h Host) WallClock() time.Time {
	h.lock.Lock()
	defer h.lock.Unlock()
	return time.Now().Add(h.wallClockErrors[h.Name].Duration())
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
