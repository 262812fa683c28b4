package core

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// absentSpan is the least time between two lists that prove an absence.
const absentSpan = 750 * schedule.Millisecond

// absences holds since when known engines are missing in a list. Pages and lag may hide
// one: it counts as gone once it is missing in two successive lists.
type absences struct {
	missing map[string]schedule.Microseconds
}

// settle gives the list that is to be followed: what was listed, and those known engines
// whose absence is not yet proved.
func (m *absences) settle(now schedule.Microseconds, listed []catalogue.Engine, known map[string]catalogue.Engine) []catalogue.Engine {
	present := map[string]bool{}
	for _, engine := range listed {
		present[engine.Name] = true
	}
	missing, wanted := map[string]schedule.Microseconds{}, slices.Clone(listed)
	for name, engine := range known {
		if present[name] {
			continue
		}
		since, before := m.missing[name]
		if !before {
			since = now
		}
		missing[name] = since
		if !before || now-since < absentSpan {
			wanted = append(wanted, engine)
		}
	}
	m.missing = missing
	return wanted
}

// lasting holds since when a list has been as it is.
type lasting struct {
	items []string
	since schedule.Microseconds
}

// stood is how long the list has been the same.
func (s *lasting) stood(now schedule.Microseconds, items ...string) schedule.Microseconds {
	if s.since == 0 || !slices.Equal(s.items, items) {
		s.items, s.since = items, now
	}
	return now - s.since
}
