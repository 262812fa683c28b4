package engineplan

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// minMissingInterval is the minimum time between the first listing that lacks an engine and the listing that
// confirms that the engine is gone.
const minMissingInterval = 750 * clock.Millisecond

// MissingEngines records when registered engines were first missing from the directory's listings.
// Pagination and replication lag can hide an engine from a single listing, so an engine counts as gone
// only if successive listings lack it for at least minMissingInterval. The zero value is ready for use.
type MissingEngines struct {
	missingSince map[string]clock.Microseconds
}

// Reconcile returns the engines that the registry should contain: the listed engines, and the
// registered engines that are missing from the listing but not yet confirmed as gone.
func (m *MissingEngines) Reconcile(
	now clock.Microseconds, listed []registry.Engine, registered map[string]registry.Engine,
) []registry.Engine {
	isListed := map[string]bool{}
	for _, engine := range listed {
		isListed[engine.Name] = true
	}
	missingSince := map[string]clock.Microseconds{}
	desired := slices.Clone(listed)
	for name, engine := range registered {
		if isListed[name] {
			continue
		}
		firstMissingAt, wasMissing := m.missingSince[name]
		if !wasMissing {
			firstMissingAt = now
		}
		missingSince[name] = firstMissingAt
		if !wasMissing || now-firstMissingAt < minMissingInterval {
			desired = append(desired, engine)
		}
	}
	m.missingSince = missingSince
	return desired
}
