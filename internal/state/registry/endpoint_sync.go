package registry

import (
	"cmp"
	"maps"
	"slices"
)

// maxDrainedIncarnations is the maximum number of incarnations that the state remembers after
// they were removed while draining; it forgets the oldest ones first. An outdated endpoint list no
// longer contains an incarnation once this many later ones have been removed.
const maxDrainedIncarnations = 128

// syncEndpoints adds or replaces the engines in put and removes the engines named in drop. An
// incarnation that has been draining stays draining, even if it is removed and listed again.
func (s *State) syncEndpoints(put []Engine, drop []string) {
	engines := maps.Clone(s.Engines)
	drained := slices.Clone(s.Drained)
	for _, name := range drop {
		if engines[name].Draining && !slices.Contains(drained, name) {
			drained = append(drained, name)
		}
		delete(engines, name)
	}
	for _, engine := range put {
		engine.Draining = s.isDraining(engine)
		engines[engine.Name] = engine
	}
	s.Engines, s.Drained = engines, drained[max(len(drained)-maxDrainedIncarnations, 0):]
}

// isDraining reports whether an engine is draining according to its new entry, or was draining
// as the same incarnation in the view.
func (v View) isDraining(engine Engine) bool {
	if engine.Draining {
		return true
	}
	current := v.Engines[engine.Name]
	sameIncarnation := current.Incarnation == engine.Incarnation
	return current.Draining && sameIncarnation || slices.Contains(v.Drained, engine.Name)
}

// Diff returns the engines to add or replace and the names to remove so that the view matches
// the desired list. Both results are sorted by name, and empty if nothing differs. An engine
// that is listed twice is draining if either entry is.
func (v View) Diff(desired []Engine) (put []Engine, drop []string) {
	desiredByName := make(map[string]Engine, len(desired))
	for _, engine := range desired {
		engine.Draining = v.isDraining(engine) || desiredByName[engine.Name].Draining
		desiredByName[engine.Name] = engine
	}
	for name, engine := range desiredByName {
		if current, exists := v.Engines[name]; !exists || current != engine {
			put = append(put, engine)
		}
	}
	for name := range v.Engines {
		if _, exists := desiredByName[name]; !exists {
			drop = append(drop, name)
		}
	}
	slices.SortFunc(put, func(left, right Engine) int { return cmp.Compare(left.Name, right.Name) })
	slices.Sort(drop)
	return put, drop
}

// Equal reports whether the engines of the view match the desired list. A draining flag that
// the view keeps for an incarnation doesn't count as a difference.
func (v View) Equal(desired []Engine) bool {
	put, drop := v.Diff(desired)
	return len(put)+len(drop) == 0
}
