package core

import (
	"sync/atomic"

	"coursepass/internal/clock"
)

const (
	// standstillTick is how often a process notes that it runs.
	standstillTick = 250 * schedule.Millisecond
	// standstillSpan is how long a note may be overdue before the process is taken to have
	// stood still. Callers give an order up after a second of silence.
	standstillSpan = 750 * schedule.Millisecond
	// standstillAfter is how long a process distrusts the orders that it reads once it runs
	// again: they may have waited in its sockets all the while.
	standstillAfter = schedule.Second
)

// standstill tells whether the process has lately stood still, as a frozen machine does.
// The steady clock goes on in the meantime.
type standstill struct {
	noted   atomic.Int64
	resumed atomic.Int64
}

// note is called every standstillTick while the process runs.
func (standstill *standstill) note(now schedule.Microseconds) {
	if standstill.overdue(now) {
		standstill.resumed.Store(int64(now))
	}
	standstill.noted.Store(int64(now))
}

// lately is right at once after the process runs again, whether or not the first note
// came before the question.
func (standstill *standstill) lately(now schedule.Microseconds) bool {
	resumed := standstill.resumed.Load()
	return standstill.overdue(now) || resumed > 0 && now-schedule.Microseconds(resumed) < standstillAfter
}

func (standstill *standstill) overdue(now schedule.Microseconds) bool {
	noted := standstill.noted.Load()
	return noted > 0 && now-schedule.Microseconds(noted) > standstillSpan
}
