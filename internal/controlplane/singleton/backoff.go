package singleton

import "coursepass/internal/clock"

const (
	// firstBackoff is the longest wait after the first failure in a row. Each further one doubles it, up to
	// maxBackoff.
	firstBackoff = 250 * clock.Millisecond
	maxBackoff   = 4 * clock.Second
	// maxBackoffDoublings keeps the shift below from overflowing.
	maxBackoffDoublings = 16
	// jitterDivisor is the part of a wait, as one in so many, that is random.
	jitterDivisor = 2
)

// backoff returns how long to wait after so many failures in a row. The jitter is a random number from 0 up to 1.
func backoff(failures int, jitter float64) clock.Microseconds {
	doublings := min(max(failures-1, 0), maxBackoffDoublings)
	longest := min(firstBackoff<<doublings, maxBackoff)
	random := clock.Microseconds(jitter * float64(longest/jitterDivisor))
	return longest - random
}
