package engineplan

import (
	"slices"

	"coursepass/internal/clock"
)

// StabilityTimer measures how long a list of values has stayed the same. The zero value is ready for
// use.
type StabilityTimer struct {
	values []string
	since  clock.Microseconds
}

// UnchangedFor returns how long the observed values have been equal to the given ones.
func (s *StabilityTimer) UnchangedFor(now clock.Microseconds, values ...string) clock.Microseconds {
	if s.since == 0 || !slices.Equal(s.values, values) {
		s.values, s.since = values, now
	}
	return now - s.since
}
