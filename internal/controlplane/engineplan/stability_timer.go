package engineplan

import (
	"slices"

	"coursepass/internal/clock"
)

// StabilityTimer measures how long an observed list of values has been unchanged. The zero value is ready
// for use.
type StabilityTimer struct {
	values []string
	since  clock.Microseconds
}

// UnchangedFor records the given values as observed now, and returns how long they have been unchanged.
func (s *StabilityTimer) UnchangedFor(now clock.Microseconds, values ...string) clock.Microseconds {
	if s.since == 0 || !slices.Equal(s.values, values) {
		s.values, s.since = values, now
	}
	return now - s.since
}
