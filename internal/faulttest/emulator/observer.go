package engine

import (
	"fmt"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
)

// Observer watches one engine through all its lives. It knows nothing of how the
// fleet works: it sees orders and starts, and flags what must never happen.
type Observer struct {
	Lease schedule.Microseconds
	*Book
	clock      *schedule.Clock
	lock       sync.Mutex
	highest    uint64
	holder     string
	lastBy     map[string]schedule.Microseconds
	orders     int64
	violations []string
	chilled    map[string]int
}

// NewObserver watches for holders that take turns within the lease.
func NewObserver(lease schedule.Microseconds) *Observer {
	return &Observer{Lease: lease, Book: &Book{}, clock: schedule.NewClock(), lastBy: map[string]schedule.Microseconds{}, chilled: map[string]int{}}
}

// Now is the observer's own clock, which outlives the engine's.
func (o *Observer) Now() schedule.Microseconds { return o.clock.Now() }

// Order sees an order arrive.
func (o *Observer) Order(now schedule.Microseconds, given order.Order) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.orders++
	if given.Round < o.highest {
		o.flag("round %d of %s after round %d of %s", given.Round, given.Holder, o.highest, o.holder)
	}
	for holder, last := range o.lastBy {
		if holder != given.Holder && now-last < o.Lease {
			o.flag("%s orders %d µs after %s", given.Holder, now-last, holder)
		}
	}
	if given.Round >= o.highest {
		o.highest, o.holder = given.Round, given.Holder
	}
	o.lastBy[given.Holder] = now
}

// Chill sees a cold life of the engine turn work away.
func (o *Observer) Chill(incarnation string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.chilled[incarnation]++
}

// Chilled is the most that one life turned away while it was cold.
func (o *Observer) Chilled() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	most := 0
	for _, count := range o.chilled {
		most = max(most, count)
	}
	return most
}

// Flag notes a violation seen elsewhere in the engine.
func (o *Observer) Flag(format string, values ...any) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.flag(format, values...)
}

func (o *Observer) flag(format string, values ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, values...))
}

// Round is the highest round heard.
func (o *Observer) Round() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.highest
}

// Orders is how many orders arrived.
func (o *Observer) Orders() int64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.orders
}

// Violations is all that was flagged.
func (o *Observer) Violations() []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return append([]string(nil), o.violations...)
}
