package singleton

import "coursepass/internal/clock"

const (
	// firstBackoff is the maximum wait after the first failure. Each consecutive failure doubles the maximum
	// wait, up to maxBackoff.
	firstBackoff = 250 * clock.Millisecond
	// maxBackoff is the limit of the maximum wait, however many failures there were.
	maxBackoff = 4 * clock.Second
	// maxBackoffDoublings is the maximum number of doublings. It keeps the shift in backoff from overflowing.
	maxBackoffDoublings = 16
	// jitterDivisor determines the random part of a wait: at most 1/jitterDivisor of the wait is subtracted.
	jitterDivisor = 2
)

// backoff returns how long to wait after the given number of consecutive failures. The jitter is a random number
// in [0, 1).
func backoff(failures int, jitter float64) clock.Microseconds {
	doublings := min(max(failures-1, 0), maxBackoffDoublings)
	maxWait := min(firstBackoff<<doublings, maxBackoff)
	reduction := clock.Microseconds(jitter * float64(maxWait/jitterDivisor))
	return maxWait - reduction
}
