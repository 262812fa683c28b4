package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewSuspendAware returns a clock that also counts the time during which the machine was
// suspended. Without it, a lease or a quorum read could remain valid for too long after a suspend
// that its owner did not notice. If the operating system has no such clock, NewSuspendAware
// returns the same as [New].
func NewSuspendAware() *Clock {
	if _, supported := timeSinceBoot(); !supported {
		return New()
	}
	return NewFromSource(func() Microseconds {
		now, _ := timeSinceBoot()
		return now
	})
}

// timeSinceBoot reads CLOCK_BOOTTIME, which advances while the machine is suspended, and reports
// whether the operating system supports it.
func timeSinceBoot() (Microseconds, bool) {
	var timespec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec) != nil {
		return 0, false
	}
	return FromDuration(time.Duration(timespec.Nano())), true
}
