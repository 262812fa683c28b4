package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewSuspendAware returns a clock that also counts the time for which the machine was
// suspended: a lease or a quorum read must not outlive a suspend that its owner did not
// notice. Where the operating system has no such clock, it is the same as [New].
func NewSuspendAware() *Clock {
	if _, supported := timeSinceBoot(); !supported {
		return New()
	}
	return NewFromSource(func() Microseconds {
		now, _ := timeSinceBoot()
		return now
	})
}

// timeSinceBoot reads CLOCK_BOOTTIME, which goes on while the machine is suspended, and
// reports whether the operating system has it.
func timeSinceBoot() (Microseconds, bool) {
	var timespec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec) != nil {
		return 0, false
	}
	return FromDuration(time.Duration(timespec.Nano())), true
}
