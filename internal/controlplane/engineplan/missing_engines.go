package engineplan

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

// minMissingInterval is the least time between two listings that together prove an engine gone.
const minMissingInterval = 750 * clock.Millisecond

// MissingEngines records since when registered engines are missing from the directory's listings.
// Pagination and replication lag may hide an engine from one listing: it counts as gone once two
// successive listings, at least minMissingInterval apart, lack it. The zero value is ready for use.
type MissingEngines struct {
	missingSince map[string]clock.Microseconds
}

// Reconcile returns the engines that the registry should have: those listed, and those registered
// ones that are missing but not yet proved gone.
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
		since, wasMissing := m.missingSince[name]
		if !wasMissing {
			since = now
		}
		missingSince[name] = since
		if !wasMissing || now-since < minMissingInterval {
			desired = append(desired, engine)
		}
	}
	m.missingSince = missingSince
	return desired
}
