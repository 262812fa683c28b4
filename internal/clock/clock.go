// Package clock measures time in whole microseconds on monotonic clocks, and has the select
// loop that every daemon runs.
//
// All moments of a process are read from one [Clock], so that they can be compared; moments
// of two clocks can't. A simulation gives each simulated machine a clock with its own source.
package clock

import (
	"context"
	"time"
)

// Microseconds is a span of time, or a moment counted from the start of a clock.
type Microseconds int64

// Spans in microseconds.
const (
	Millisecond Microseconds = 1000
	Second                   = 1000 * Millisecond
	// Never is later than any moment, and still fits a time.Duration.
	Never = Microseconds(1) << 52
)

// Duration converts the span to a time.Duration.
func (m Microseconds) Duration() time.Duration {
	return time.Duration(m) * time.Microsecond
}

// FromDuration converts a time.Duration to microseconds, and cuts off what is below one.
func FromDuration(duration time.Duration) Microseconds {
	return Microseconds(duration / time.Microsecond)
}

// Source returns monotonic time, counted from any moment. It must never decrease.
type Source func() Microseconds

// Clock returns monotonic time, counted from one second before the clock's creation. It can
// be used by several goroutines if its source can.
type Clock struct {
	source Source
	start  Microseconds
}

// New returns a clock on the process's monotonic time. It starts at one second, so that the
// zero value of a moment can mean "never happened".
func New() *Clock {
	origin := time.Now()
	return NewFromSource(func() Microseconds { return FromDuration(time.Since(origin)) })
}

// NewFromSource returns a clock that starts at one second and follows the source.
func NewFromSource(source Source) *Clock {
	return &Clock{source: source, start: source() - Second}
}

// Now returns the current moment. It never decreases.
func (c *Clock) Now() Microseconds { return c.source() - c.start }

// Loop is an event loop: one goroutine handles queued inputs one at a time, and is woken at
// the moment that the handler asked for last. Its state machine therefore needs no lock.
type Loop[Input any] struct {
	Clock  *Clock
	inputs chan Input
}

// NewLoop returns a loop whose queue holds up to depth inputs. [Loop.Run] starts it.
func NewLoop[Input any](clock *Clock, depth int) *Loop[Input] {
	return &Loop[Input]{Clock: clock, inputs: make(chan Input, depth)}
}

// Offer queues an input without blocking, and reports false if the queue is full.
func (l *Loop[Input]) Offer(input Input) bool {
	select {
	case l.inputs <- input:
		return true
	default:
		return false
	}
}

// Put queues an input, blocking while the queue is full. It reports false if the context
// ended first.
func (l *Loop[Input]) Put(ctx context.Context, input Input) bool {
	select {
	case l.inputs <- input:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run handles inputs and wake-ups until the context ends. Both functions return the moment of
// the next wake-up, which replaces the previous one; [Never] asks for none. Inputs that are
// still queued at the end are dropped.
func (l *Loop[Input]) Run(ctx context.Context, handle func(Input) Microseconds, wake func() Microseconds) {
	wakeups := WakeupCounter(ctx)
	next := wake()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(next-l.Clock.Now(), 0).Duration())
		select {
		case <-ctx.Done():
			return
		case input := <-l.inputs:
			next = handle(input)
		case <-timer.C:
			wakeups.Add(1)
			next = wake()
		}
	}
}

// Every calls the action once per interval until the context ends. Calls don't overlap: an
// action that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval Microseconds, action func()) {
	wakeups := WakeupCounter(ctx)
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wakeups.Add(1)
			action()
		}
	}
}
