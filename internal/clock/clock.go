// Package clock measures time in whole microseconds on monotonic clocks, and provides the event
// loop that every daemon runs.
//
// A process reads all its timestamps from one [Clock], because timestamps of different clocks
// can't be compared. A simulation gives each simulated machine a clock with its own source.
package clock

import (
	"context"
	"time"
)

// Microseconds is a duration, or a timestamp relative to the start of a clock.
type Microseconds int64

// Durations in microseconds.
const (
	Millisecond Microseconds = 1000
	Second                   = 1000 * Millisecond
	// Never is later than any timestamp, but small enough to be converted to a time.Duration.
	Never = Microseconds(1) << 52
)

// Duration converts m to a time.Duration.
func (m Microseconds) Duration() time.Duration {
	return time.Duration(m) * time.Microsecond
}

// FromDuration converts a time.Duration to microseconds, truncating any fraction.
func FromDuration(duration time.Duration) Microseconds {
	return Microseconds(duration / time.Microsecond)
}

// Source returns the time since an arbitrary origin. Successive results must never decrease.
type Source func() Microseconds

// Clock is a monotonic clock whose origin is one second before its creation. It is safe for
// concurrent use if its source is.
type Clock struct {
	source Source
	start  Microseconds
}

// New returns a clock that follows the process's monotonic time. It starts at one second, so
// that a timestamp of zero can mean "never happened".
func New() *Clock {
	origin := time.Now()
	return NewFromSource(func() Microseconds { return FromDuration(time.Since(origin)) })
}

// NewFromSource returns a clock that starts at one second and follows the source.
func NewFromSource(source Source) *Clock {
	return &Clock{source: source, start: source() - Second}
}

// Now returns the current timestamp. Successive results never decrease.
func (c *Clock) Now() Microseconds { return c.source() - c.start }

// Loop is an event loop. A single goroutine handles queued inputs one at a time, and wakes up at
// the time that the most recent handler call returned. The state that the handlers use therefore
// needs no lock.
type Loop[Input any] struct {
	Clock  *Clock
	inputs chan Input
}

// NewLoop returns a loop whose queue holds up to depth inputs. [Loop.Run] starts it.
func NewLoop[Input any](clock *Clock, depth int) *Loop[Input] {
	return &Loop[Input]{Clock: clock, inputs: make(chan Input, depth)}
}

// Offer queues an input without blocking. It reports whether the input was queued: false means
// that the queue is full.
func (l *Loop[Input]) Offer(input Input) bool {
	select {
	case l.inputs <- input:
		return true
	default:
		return false
	}
}

// Put queues an input, blocking while the queue is full. It reports whether the input was
// queued: false means that the context ended first.
func (l *Loop[Input]) Put(ctx context.Context, input Input) bool {
	select {
	case l.inputs <- input:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run calls handle for each input and wake for each wake-up until the context ends. It calls wake
// once at the start. Both functions return the time of the next wake-up, which replaces the
// previous one; [Never] means no wake-up. Inputs that are still queued when the context ends are
// dropped.
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
// action that takes longer than the interval delays the next call.
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
