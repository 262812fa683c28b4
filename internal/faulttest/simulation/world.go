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
	at     schedule.Microseconds
	order  uint64
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].order < e[right].order
}
func (e events) Swap(left, right int) { e[left], e[right] = e[right], e[left] }

// Push is for the heap.
func (e *events) Push(each any) { *e = append(*e, each.(event)) }

// Pop is for the heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// World is the virtual clock with its seeded chance.
type World struct {
	Seed       uint64
	Chance     *rand.Rand
	Violations []string
	Trace      []string
	now        schedule.Microseconds
	count      uint64
	events     events
}

// NewWorld begins one second after nothing.
func NewWorld(seed uint64) *World {
	return &World{Seed: seed, Chance: rand.New(rand.NewPCG(seed, 1)), now: schedule.Second}
}

// Now is the true time, which no machine can read.
func (s *World) Now() schedule.Microseconds { return s.now }

// After plans an action.
func (s *World) After(span schedule.Microseconds, action func()) {
	s.count++
	heap.Push(&s.events, event{s.now + max(span, 0), s.count, action})
}

// Every repeats an action for as long as it says yes.
func (s *World) Every(span schedule.Microseconds, action func() bool) {
	s.After(span, func() {
		if action() {
			s.Every(span, action)
		}
	})
}

// Run lets time pass.
func (s *World) Run(span schedule.Microseconds) {
	end := s.now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
	s.now = end
}

// Between draws a span.
func (s *World) Between(low, high schedule.Microseconds) schedule.Microseconds {
	return low + schedule.Microseconds(s.Chance.Int64N(int64(high-low)+1))
}

// Violate notes that something happened which must never happen.
func (s *World) Violate(format string, values ...any) {
	if len(s.Violations) < 20 {
		s.Violations = append(s.Violations, fmt.Sprintf("%8d ms ", s.now/schedule.Millisecond)+fmt.Sprintf(format, values...))
	}
}

// Note keeps a line of what was done to the fleet.
func (s *World) Note(format string, values ...any) {
	s.Trace = append(s.Trace, fmt.Sprintf("%8d ms ", s.now/schedule.Millisecond)+fmt.Sprintf(format, values...))
}
