// Package simulation runs the fleet's own pure state machines under one virtual
// clock, with a seeded network and disks, and has observers check what must never
// happen.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"coursepass/internal/clock"
)

type event struct {
	at         clock.Microseconds
	tieBreaker uint64
	action     func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].tieBreaker < e[right].tieBreaker
}
func (e eventQueue) Swap(left, right int) { e[left], e[right] = e[right], e[left] }

// Push is for the heap.
func (e *eventQueue) Push(item any) { *e = append(*e, item.(event)) }

// Pop is for the heap.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Simulator is the virtual clock with its seeded chance.
type Simulator struct {
	Seed       uint64
	Random     *rand.Rand
	Violations []string
	Trace      []string
	now        clock.Microseconds
	eventCount uint64
	queue      eventQueue
}

// NewSimulator begins one second after nothing.
func NewSimulator(seed uint64) *Simulator {
	return &Simulator{Seed: seed, Random: rand.New(rand.NewPCG(seed, 1)), now: clock.Second}
}

// Now is the true time, which no machine can read.
func (s *Simulator) Now() clock.Microseconds { return s.now }

// After plans an action.
func (s *Simulator) After(duration clock.Microseconds, action func()) {
	s.eventCount++
	heap.Push(&s.queue, event{s.now + max(duration, 0), s.eventCount, action})
}

// Every repeats an action for as long as it says yes.
func (s *Simulator) Every(duration clock.Microseconds, action func() bool) {
	s.After(duration, func() {
		if action() {
			s.Every(duration, action)
		}
	})
}

// Run lets time pass.
func (s *Simulator) Run(duration clock.Microseconds) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.action()
	}
	s.now = end
}

// RandomBetween draws a span.
func (s *Simulator) RandomBetween(low, high clock.Microseconds) clock.Microseconds {
	return low + clock.Microseconds(s.Random.Int64N(int64(high-low)+1))
}

// ReportViolation notes that something happened which must never happen.
func (s *Simulator) ReportViolation(format string, values ...any) {
	if len(s.Violations) < 20 {
		s.Violations = append(s.Violations, fmt.Sprintf("%8d ms ", s.now/clock.Millisecond)+fmt.Sprintf(format, values...))
	}
}

// RecordTrace keeps a line of what was done to the fleet.
func (s *Simulator) RecordTrace(format string, values ...any) {
	s.Trace = append(s.Trace, fmt.Sprintf("%8d ms ", s.now/clock.Millisecond)+fmt.Sprintf(format, values...))
}
