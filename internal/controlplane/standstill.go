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
func (p *standstill) note(now schedule.Microseconds) {
	if p.overdue(now) {
		p.resumed.Store(int64(now))
	}
	p.noted.Store(int64(now))
}

// lately is right at once after the process runs again, whether or not the first note
// came before the question.
func (p *standstill) lately(now schedule.Microseconds) bool {
	resumed := p.resumed.Load()
	return p.overdue(now) || resumed > 0 && now-schedule.Microseconds(resumed) < standstillAfter
}

func (p *standstill) overdue(now schedule.Microseconds) bool {
	noted := p.noted.Load()
	return noted > 0 && now-schedule.Microseconds(noted) > standstillSpan
}
