package registry

import "coursepass/internal/clock"

// BusyTime is how long the engines of a service were busy for one router since the router
// started: Read with prefill, Made with decoding.
type BusyTime struct {
	Service string
	Prefill clock.Microseconds
	Decode  clock.Microseconds
}
