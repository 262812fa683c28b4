package registry

import "coursepass/internal/clock"

// BusyTime is how long the engines of a service were busy for one router since the router
// started: Prefill with reading prompts, Decode with making tokens.
type BusyTime struct {
	Service string
	Prefill clock.Microseconds
	Decode  clock.Microseconds
}
