package singleton

import "coursepass/internal/clock"

const (
	// rateShare is the part of the permitted rate that is used. Calls are evenly spaced, so that any second
	// has one call more than its share at most.
	rateShare = 0.8
	// defaultCallsPerSecond is the rate if no limit is known.
	defaultCallsPerSecond = 2
)

// callSpacing returns the least time between the beginnings of two calls.
func callSpacing(callsPerSecond float64) clock.Microseconds {
	if callsPerSecond <= 0 {
		callsPerSecond = defaultCallsPerSecond
	}
	return clock.Microseconds(float64(clock.Second) / (callsPerSecond * rateShare))
}
