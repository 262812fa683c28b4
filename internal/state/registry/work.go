package catalogue

import "coursepass/internal/clock"

// Work is how long a service's engines were kept busy for one router since it started, by
// reading prompts for others and by making answers.
type Work struct {
	Service string
	Read    schedule.Microseconds
	Made    schedule.Microseconds
}
