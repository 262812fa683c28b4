package simulation

import (
	"time"

	"coursepass/internal/clock"
)

// Suspend moves a machine's clock on by a span that its timers do not count.
func (fabric *Fabric) Suspend(machine string, span schedule.Microseconds) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.suspended[machine] += span
}

// NewClock is the machine's clock, which counts the time in suspend.
func (port Port) NewClock() *schedule.Clock {
	origin := time.Now()
	return schedule.NewClockOf(func() schedule.Microseconds {
		port.lock.Lock()
		defer port.lock.Unlock()
		return schedule.Of(time.Since(origin)) + port.suspended[port.Machine]
	})
}
