package singleton

import "coursepass/internal/clock"

const (
	// rateShare is the fraction of the permitted rate that is used. Calls are evenly spaced, so any interval of
	// one second contains at most one call more than this share.
	rateShare = 0.8
	// defaultCallsPerSecond is the permitted rate if no limit is known.
	defaultCallsPerSecond = 2
)

// callSpacing returns the minimum time between the starts of two calls.
func callSpacing(callsPerSecond float64) clock.Microseconds {
	if callsPerSecond <= 0 {
		callsPerSecond = defaultCallsPerSecond
	}
	return clock.Microseconds(float64(clock.Second) / (callsPerSecond * rateShare))
}
