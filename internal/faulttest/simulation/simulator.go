// Package simulation tests the fleet under faults in virtual time, in two ways.
//
// Simulator, Network, Cluster, Router and Soak run the pure state machines of the consensus and of
// the routers' freshness gate as discrete events: a seed determines the whole run, and invariants are
// checked against the true time, which no state machine sees. Soak.Run is the entry.
//
// MemoryNetwork connects real daemons in one process, under the virtual clock of testing/synctest:
// tests start daemons on a Host each, and partition, delay, freeze, suspend or kill hosts and their
// disks. The scenarios of the fleet are the tests of this package.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"coursepass/internal/clock"
)

// event is an action at a time; events of one time happen in the order of their making.
type event struct {
	at         clock.Microseconds
	tieBreaker uint64
	action     func()
}

// eventQueue is a heap of events by their time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].tieBreaker < e[right].tieBreaker
}

func (e eventQueue) Swap(left, right int) { e[left], e[right] = e[right], e[left] }

// Push implements heap.Interface.
func (e *eventQueue) Push(item any) { *e = append(*e, item.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// maxViolations is how many violations are kept; later ones mostly follow from the first.
const maxViolations = 20

// Simulator is a discrete-event simulator with a virtual clock and a seeded source of random numbers.
type Simulator struct {
	Seed   uint64
	Random *rand.Rand
	// Violations and Trace are lines that begin with the time.
	Violations []string
	Trace      []string
	now        clock.Microseconds
	eventCount uint64
	queue      eventQueue
}

// NewSimulator makes a simulator whose clock shows one second.
func NewSimulator(seed uint64) *Simulator {
	return &Simulator{Seed: seed, Random: rand.New(rand.NewPCG(seed, 1)), now: clock.Second}
}

// Now is the true time, which no state machine sees.
func (s *Simulator) Now() clock.Microseconds { return s.now }

// After schedules an action after a duration; a negative duration is zero.
func (s *Simulator) After(duration clock.Microseconds, action func()) {
	s.eventCount++
	heap.Push(&s.queue, event{s.now + max(duration, 0), s.eventCount, action})
}

// Every repeats an action with an interval, for as long as it returns true.
func (s *Simulator) Every(duration clock.Microseconds, action func() bool) {
	s.After(duration, func() {
		if action() {
			s.Every(duration, action)
		}
	})
}

// Run executes the events of a duration, and moves the clock to its end.
func (s *Simulator) Run(duration clock.Microseconds) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.action()
	}
	s.now = end
}

// RandomBetween returns a random duration between two, both included.
func (s *Simulator) RandomBetween(low, high clock.Microseconds) clock.Microseconds {
	return low + clock.Microseconds(s.Random.Int64N(int64(high-low)+1))
}

// ReportViolation records that an invariant is violated.
func (s *Simulator) ReportViolation(format string, values ...any) {
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, s.timestamp()+fmt.Sprintf(format, values...))
	}
}

// RecordTrace records a fault that is injected.
func (s *Simulator) RecordTrace(format string, values ...any) {
	s.Trace = append(s.Trace, s.timestamp()+fmt.Sprintf(format, values...))
}

func (s *Simulator) timestamp() string { return fmt.Sprintf("%8d ms ", s.now/clock.Millisecond) }
