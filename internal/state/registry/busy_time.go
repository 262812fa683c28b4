package registry

import "coursepass/internal/clock"

// BusyTime is the time that the engines of a service have spent on the requests of one router
// since the router started: Prefill on processing prompts, Decode on generating tokens.
type BusyTime struct {
	Service string
	Prefill clock.Microseconds
	Decode  clock.Microseconds
}
