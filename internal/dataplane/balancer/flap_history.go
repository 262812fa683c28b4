package balancer

import "coursepass/internal/clock"

const (
	// flapWindow is the maximum time between two ends of incarnations at one address that count as
	// flapping.
	flapWindow = 30 * clock.Second
	// minFlapWarmup and maxFlapWarmup bound how long a new incarnation at a flapping address is treated as
	// warming up. The time doubles with each end, maxFlapDoublings times at most.
	minFlapWarmup    = clock.Second
	maxFlapWarmup    = 8 * clock.Second
	maxFlapDoublings = 6
	// maxEndHistories is the maximum number of addresses with a history.
	maxEndHistories = 8192
)

// endHistory counts the incarnations at one address that recently ended without draining first.
type endHistory struct {
	count   int
	lastEnd clock.Microseconds
}

// recordUnexpectedEnd records the end of an incarnation that was not draining.
func (b *Balancer) recordUnexpectedEnd(now clock.Microseconds, departed *engineState) {
	if departed.Draining {
		return
	}
	if len(b.unexpectedEnds) >= maxEndHistories {
		clear(b.unexpectedEnds)
	}
	history := b.unexpectedEnds[departed.Address]
	if now-history.lastEnd > flapWindow {
		history.count = 0
	}
	b.unexpectedEnds[departed.Address] = endHistory{count: history.count + 1, lastEnd: now}
}

// flapWarmupEnd returns the time until which a new incarnation at an address is treated as warming up. The
// warm-up is longer the more incarnations have recently ended there. It returns 0 if none has.
func (b *Balancer) flapWarmupEnd(now clock.Microseconds, address string) clock.Microseconds {
	history, ok := b.unexpectedEnds[address]
	if !ok || now-history.lastEnd > flapWindow {
		return 0
	}
	doublings := min(history.count-1, maxFlapDoublings)
	return now + min(minFlapWarmup<<doublings, maxFlapWarmup)
}
