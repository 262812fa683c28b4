package balancer

import "coursepass/internal/clock"

const (
	// flapWindow is how soon after one another lives must end to count as flapping.
	flapWindow = 30 * clock.Second
	// minFlapWarmup and flapMost bound how long a new life at such an address is taken for cold.
	minFlapWarmup   = clock.Second
	maxFlapWarmup   = 8 * clock.Second
	maxEndHistories = 8192
)

// endHistory is how often lives at an address have ended without leaving in order, and when the last did.
type endHistory struct {
	count   int
	lastEnd clock.Microseconds
}

// recordUnexpectedEnd notes the end of a life that did not say that it leaves.
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
	b.unexpectedEnds[departed.Address] = endHistory{history.count + 1, now}
}

// flapWarmupEnd is until when a new life at an address is taken for cold: the longer, the more
// lives have ended there lately.
func (b *Balancer) flapWarmupEnd(now clock.Microseconds, address string) clock.Microseconds {
	history, ok := b.unexpectedEnds[address]
	if !ok || now-history.lastEnd > flapWindow {
		return 0
	}
	return now + min(minFlapWarmup<<min(history.count-1, 6), maxFlapWarmup)
}
