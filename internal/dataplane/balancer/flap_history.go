package balancer

import "coursepass/internal/clock"

const (
	// flapWindow is how soon after one another incarnations must end to count as flapping.
	flapWindow = 30 * clock.Second
	// minFlapWarmup and maxFlapWarmup bound how long a new incarnation at such an address is treated
	// as warming up. The time doubles with each end, maxFlapDoublings times at most.
	minFlapWarmup    = clock.Second
	maxFlapWarmup    = 8 * clock.Second
	maxFlapDoublings = 6
	// maxEndHistories limits how many addresses are remembered.
	maxEndHistories = 8192
)

// endHistory counts the incarnations at one address that ended recently without draining first.
type endHistory struct {
	count   int
	lastEnd clock.Microseconds
}

// recordUnexpectedEnd records the end of an incarnation, unless it was draining.
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

// flapWarmupEnd returns until when a new incarnation at an address is treated as warming up: the
// longer, the more incarnations have ended there recently. It returns 0 if none has.
func (b *Balancer) flapWarmupEnd(now clock.Microseconds, address string) clock.Microseconds {
	history, ok := b.unexpectedEnds[address]
	if !ok || now-history.lastEnd > flapWindow {
		return 0
	}
	doublings := min(history.count-1, maxFlapDoublings)
	return now + min(minFlapWarmup<<doublings, maxFlapWarmup)
}
