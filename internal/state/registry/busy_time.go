package registry

import "coursepass/internal/clock"

// BusyTime is how long a service's engines were kept busy for one router since it started, by
// reading prompts for others and by making answers.
type BusyTime struct {
	Service string
	Read    clock.Microseconds
	Made    clock.Microseconds
}
