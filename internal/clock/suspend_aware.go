package clock

import "golang.org/x/sys/unix"

// NewSuspendAware starts a clock that also counts the time in which the whole machine is
// suspended, where the system has one: a grant or a majority read must not outlive a
// suspend that its holder did not notice. Elsewhere it is an ordinary clock.
func NewSuspendAware() *Clock {
	if _, supported := timeSinceBoot(); !supported {
		return New()
	}
	return NewFromSource(func() Microseconds {
		now, _ := timeSinceBoot()
		return now
	})
}

func timeSinceBoot() (Microseconds, bool) {
	var timespec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec) != nil {
		return 0, false
	}
	return Microseconds(timespec.Nano() / 1000), true
}
