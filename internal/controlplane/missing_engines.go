package controlplane

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// minMissingInterval is the least time between two lists that prove an absence.
const minMissingInterval = 750 * clock.Millisecond

// missingEngines holds since when known engines are missing in a list. Pages and lag may hide
// one: it counts as gone once it is missing in two successive lists.
type missingEngines struct {
	missing map[string]clock.Microseconds
}

// reconcile gives the list that is to be followed: what was listed, and those known engines
// whose absence is not yet proved.
func (m *missingEngines) reconcile(now clock.Microseconds, listed []registry.Engine, registered map[string]registry.Engine) []registry.Engine {
	present := map[string]bool{}
	for _, engine := range listed {
		present[engine.Name] = true
	}
	missing, desired := map[string]clock.Microseconds{}, slices.Clone(listed)
	for name, engine := range registered {
		if present[name] {
			continue
		}
		since, wasMissing := m.missing[name]
		if !wasMissing {
			since = now
		}
		missing[name] = since
		if !wasMissing || now-since < minMissingInterval {
			desired = append(desired, engine)
		}
	}
	m.missing = missing
	return desired
}

// stabilityTimer holds since when a list has been as it is.
type stabilityTimer struct {
	values []string
	since  clock.Microseconds
}

// unchangedFor is how long the list has been the same.
func (s *stabilityTimer) unchangedFor(now clock.Microseconds, items ...string) clock.Microseconds {
	if s.since == 0 || !slices.Equal(s.values, items) {
		s.values, s.since = items, now
	}
	return now - s.since
}
