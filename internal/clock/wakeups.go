package clock

import (
	"context"
	"sync/atomic"
)

type wakeupsKey struct{}

// CountWakeups returns a context under which [Every] and [Loop.Run] add each of their wake-ups by a timer
// to the counter.
func CountWakeups(parent context.Context, counter *atomic.Int64) context.Context {
	return context.WithValue(parent, wakeupsKey{}, counter)
}

// WakeupCounter returns the counter that [CountWakeups] has put into the context, else one that nobody
// reads. It is for periodic loops other than those of this package.
func WakeupCounter(ctx context.Context) *atomic.Int64 {
	if counter, counted := ctx.Value(wakeupsKey{}).(*atomic.Int64); counted {
		return counter
	}
	return new(atomic.Int64)
}
