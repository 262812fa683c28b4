package clock

import (
	"context"
	"sync/atomic"
)

type wakeupsKey struct{}

// CountWakeups returns a context in which [Every] and [Loop.Run] add one to the counter each time that their
// timer fires.
func CountWakeups(parent context.Context, counter *atomic.Int64) context.Context {
	return context.WithValue(parent, wakeupsKey{}, counter)
}

// WakeupCounter returns the counter that [CountWakeups] has stored in the context, or an unused new counter if
// there is none. It is exported for periodic loops outside this package.
func WakeupCounter(ctx context.Context) *atomic.Int64 {
	if counter, counted := ctx.Value(wakeupsKey{}).(*atomic.Int64); counted {
		return counter
	}
	return new(atomic.Int64)
}
