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
func (observer *Observer) Now() schedule.Microseconds { return observer.clock.Now() }

// Order sees an order arrive.
func (observer *Observer) Order(now schedule.Microseconds, given order.Order) {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	observer.orders++
	if given.Round < observer.highest {
		observer.flag("round %d of %s after round %d of %s", given.Round, given.Holder, observer.highest, observer.holder)
	}
	for holder, last := range observer.lastBy {
		if holder != given.Holder && now-last < observer.Lease {
			observer.flag("%s orders %d µs after %s", given.Holder, now-last, holder)
		}
	}
	if given.Round >= observer.highest {
		observer.highest, observer.holder = given.Round, given.Holder
	}
	observer.lastBy[given.Holder] = now
}

// Chill sees a cold life of the engine turn work away.
func (observer *Observer) Chill(incarnation string) {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	observer.chilled[incarnation]++
}

// Chilled is the most that one life turned away while it was cold.
func (observer *Observer) Chilled() int {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	most := 0
	for _, count := range observer.chilled {
		most = max(most, count)
	}
	return most
}

// Flag notes a violation seen elsewhere in the engine.
func (observer *Observer) Flag(format string, values ...any) {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	observer.flag(format, values...)
}

func (observer *Observer) flag(format string, values ...any) {
	observer.violations = append(observer.violations, fmt.Sprintf(format, values...))
}

// Round is the highest round heard.
func (observer *Observer) Round() uint64 {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	return observer.highest
}

// Orders is how many orders arrived.
func (observer *Observer) Orders() int64 {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	return observer.orders
}

// Violations is all that was flagged.
func (observer *Observer) Violations() []string {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	return append([]string(nil), observer.violations...)
}
