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

func (events events) Len() int { return len(events) }
func (events events) Less(left, right int) bool {
	if events[left].at != events[right].at {
		return events[left].at < events[right].at
	}
	return events[left].order < events[right].order
}
func (events events) Swap(left, right int) { events[left], events[right] = events[right], events[left] }

// Push is for the heap.
func (events *events) Push(each any) { *events = append(*events, each.(event)) }

// Pop is for the heap.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
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
func (world *World) Now() schedule.Microseconds { return world.now }

// After plans an action.
func (world *World) After(span schedule.Microseconds, action func()) {
	world.count++
	heap.Push(&world.events, event{world.now + max(span, 0), world.count, action})
}

// Every repeats an action for as long as it says yes.
func (world *World) Every(span schedule.Microseconds, action func() bool) {
	world.After(span, func() {
		if action() {
			world.Every(span, action)
		}
	})
}

// Run lets time pass.
func (world *World) Run(span schedule.Microseconds) {
	end := world.now + span
	for len(world.events) > 0 && world.events[0].at <= end {
		next := heap.Pop(&world.events).(event)
		world.now = next.at
		next.action()
	}
	world.now = end
}

// Between draws a span.
func (world *World) Between(low, high schedule.Microseconds) schedule.Microseconds {
	return low + schedule.Microseconds(world.Chance.Int64N(int64(high-low)+1))
}

// Violate notes that something happened which must never happen.
func (world *World) Violate(format string, values ...any) {
	if len(world.Violations) < 20 {
		world.Violations = append(world.Violations, fmt.Sprintf("%8d ms ", world.now/schedule.Millisecond)+fmt.Sprintf(format, values...))
	}
}

// Note keeps a line of what was done to the fleet.
func (world *World) Note(format string, values ...any) {
	world.Trace = append(world.Trace, fmt.Sprintf("%8d ms ", world.now/schedule.Millisecond)+fmt.Sprintf(format, values...))
}
