package pool

import "coursepass/internal/clock"

const (
	// flapSpan is how soon after one another lives must end to count as flapping.
	flapSpan = 30 * schedule.Second
	// flapLeast and flapMost bound how long a new life at such an address is taken for cold.
	flapLeast = schedule.Second
	flapMost  = 8 * schedule.Second
	mostPast  = 8192
)

// record is how often lives at an address have ended without leaving in order, and when the last did.
type record struct {
	ends int
	at   schedule.Microseconds
}

// remember notes the end of a life that did not say that it leaves.
func (b *Pool) remember(now schedule.Microseconds, ended *member) {
	if ended.Leaving {
		return
	}
	if len(b.past) >= mostPast {
		clear(b.past)
	}
	held := b.past[ended.Address]
	if now-held.at > flapSpan {
		held.ends = 0
	}
	b.past[ended.Address] = record{held.ends + 1, now}
}

// flapped is until when a new life at an address is taken for cold: the longer, the more
// lives have ended there lately.
func (b *Pool) flapped(now schedule.Microseconds, address string) schedule.Microseconds {
	held, known := b.past[address]
	if !known || now-held.at > flapSpan {
		return 0
	}
	return now + min(flapLeast<<min(held.ends-1, 6), flapMost)
}
