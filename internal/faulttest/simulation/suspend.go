package simulation

import (
	"time"

	"coursepass/internal/clock"
)

// Suspend moves a machine's clock on by a span that its timers do not count.
func (m *Fabric) Suspend(machine string, span schedule.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.suspended[machine] += span
}

// NewClock is the machine's clock, which counts the time in suspend.
func (h Port) NewClock() *schedule.Clock {
	origin := time.Now()
	return schedule.NewClockOf(func() schedule.Microseconds {
		h.lock.Lock()
		defer h.lock.Unlock()
		return schedule.Of(time.Since(origin)) + h.suspended[h.Machine]
	})
}
