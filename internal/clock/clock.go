// Package clock owns time: whole microseconds on a monotonic clock, and the
// select loop that every daemon runs.
package clock

import (
	"context"
	"time"
)

// Microseconds is a span, or a moment counted from a clock's own start.
type Microseconds int64

// Spans in microseconds.
const (
	Millisecond Microseconds = 1000
	Second                   = 1000 * Millisecond
	// Never is later than any moment, and still fits the library's type.
	Never = Microseconds(1) << 52
)

// Duration turns the span into the library's type.
func (m Microseconds) Duration() time.Duration {
	return time.Duration(m) * time.Microsecond
}

// FromDuration turns the library's span into whole microseconds.
func FromDuration(duration time.Duration) Microseconds {
	return Microseconds(duration / time.Microsecond)
}

// Source tells monotonic time from any start.
type Source func() Microseconds

// Clock tells monotonic time.
type Clock struct {
	source Source
	start  Microseconds
}

// New starts a clock slightly above zero, so that zero means "never yet".
func New() *Clock {
	origin := time.Now()
	return NewFromSource(func() Microseconds { return FromDuration(time.Since(origin)) })
}

// NewFromSource starts a clock on a source.
func NewFromSource(source Source) *Clock {
	return &Clock{source: source, start: source() - Second}
}

// Now is the moment on this clock. It never falls.
func (c *Clock) Now() Microseconds { return c.source() - c.start }

// Loop is a select loop written once: inputs are handled one at a time, and the
// handler says when it wants to be woken next.
type Loop[Input any] struct {
	Clock  *Clock
	inputs chan Input
}

// NewLoop makes a loop whose queue holds so many inputs.
func NewLoop[Input any](clock *Clock, depth int) *Loop[Input] {
	return &Loop[Input]{Clock: clock, inputs: make(chan Input, depth)}
}

// Offer queues an input, or says false when the queue is full.
func (l *Loop[Input]) Offer(input Input) bool {
	select {
	case l.inputs <- input:
		return true
	default:
		return false
	}
}

// Put queues an input, waiting for room as long as the context lives.
func (l *Loop[Input]) Put(ctx context.Context, input Input) bool {
	select {
	case l.inputs <- input:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run handles inputs and wake-ups until the context ends. Both functions return
// the moment of the next wake-up.
func (l *Loop[Input]) Run(ctx context.Context, handle func(Input) Microseconds, wake func() Microseconds) {
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
			next = wake()
		}
	}
}

// Every calls the action at the span until the context ends.
func Every(ctx context.Context, interval Microseconds, action func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			action()
		}
	}
}
