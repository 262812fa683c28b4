package clock_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
)

func TestCountWakeups(t *testing.T) {
	for _, testCase := range []struct {
		name string
		run  func(ctx context.Context)
		want int64
	}{
		{"counts each timer wake-up of a periodic action", func(ctx context.Context) {
			clock.Every(ctx, 100*clock.Millisecond, func() {})
		}, 10},
		{"counts each timer wake-up of a loop, but no input", func(ctx context.Context) {
			loop := clock.NewLoop[int](clock.New(), 1)
			loop.Offer(1)
			wake := func() clock.Microseconds { return loop.Clock.Now() + 250*clock.Millisecond }
			loop.Run(ctx, func(int) clock.Microseconds { return wake() }, wake)
		}, 4},
		{"counts nothing for a loop that requests no wake-up", func(ctx context.Context) {
			never := func() clock.Microseconds { return clock.Never }
			loop := clock.NewLoop[int](clock.New(), 1)
			loop.Run(ctx, func(int) clock.Microseconds { return clock.Never }, never)
		}, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var counter atomic.Int64
				ctx, cancel := context.WithTimeout(clock.CountWakeups(t.Context(), &counter), 1050*time.Millisecond)
				defer cancel()
				testCase.run(ctx)
				if got := counter.Load(); got != testCase.want {
					t.Errorf("%d wake-ups in a second, want %d", got, testCase.want)
				}
			})
		})
	}
}

func TestCountWakeups_DaemonsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var first, second atomic.Int64
		ctx, cancel := context.WithTimeout(t.Context(), 1050*time.Millisecond)
		defer cancel()
		go clock.Every(clock.CountWakeups(ctx, &first), clock.Second/10, func() {})
		go clock.Every(clock.CountWakeups(ctx, &second), clock.Second/2, func() {})
		clock.Every(ctx, clock.Second/4, func() {})
		synctest.Wait()
		if first.Load() != 10 || second.Load() != 2 {
			t.Errorf("%d and %d wake-ups, want 10 and 2", first.Load(), second.Load())
		}
	})
}
