package schedule

import "golang.org/x/sys/unix"

// NewSuspendClock starts a clock that also counts the time in which the whole machine is
// suspended, where the system has one: a grant or a majority read must not outlive a
// suspend that its holder did not notice. Elsewhere it is an ordinary clock.
func NewSuspendClock() *Clock {
	if _, told := sinceBoot(); !told {
		return NewClock()
	}
	return NewClockOf(func() Microseconds {
		now, _ := sinceBoot()
		return now
	})
}

func sinceBoot() (Microseconds, bool) {
	var moment unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &moment) != nil {
		return 0, false
	}
	return Microseconds(moment.Nano() / 1000), true
}
