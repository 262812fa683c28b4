package registry

import (
	"cmp"
	"maps"
	"slices"
)

// maxDrainedIncarnations bounds the remembered incarnations that were removed while draining.
// A list that lags doesn't show one of them any more after so many later ones.
const maxDrainedIncarnations = 128

// syncEndpoints applies a change of the endpoint list. An incarnation that has been draining
// stays so, even if it was removed and comes back.
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

// isDraining reports whether an engine is draining, by its new entry or by what is known of
// its incarnation.
func (v View) isDraining(engine Engine) bool {
	if engine.Draining {
		return true
	}
	known := v.Engines[engine.Name]
	sameIncarnation := known.Incarnation == engine.Incarnation
	return known.Draining && sameIncarnation || slices.Contains(v.Drained, engine.Name)
}

// Diff returns the engines to put and the names to drop that lead from this view to a desired
// list, sorted by name; both are empty if nothing differs. An engine that is listed twice is
// draining if either entry says so.
func (v View) Diff(desired []Engine) (put []Engine, drop []string) {
	listed := make(map[string]Engine, len(desired))
	for _, engine := range desired {
		engine.Draining = v.isDraining(engine) || listed[engine.Name].Draining
		listed[engine.Name] = engine
	}
	for name, engine := range listed {
		if current, exists := v.Engines[name]; !exists || current != engine {
			put = append(put, engine)
		}
	}
	for name := range v.Engines {
		if _, exists := listed[name]; !exists {
			drop = append(drop, name)
		}
	}
	slices.SortFunc(put, func(left, right Engine) int { return cmp.Compare(left.Name, right.Name) })
	slices.Sort(drop)
	return put, drop
}

// Equal reports whether the view holds exactly the desired list.
func (v View) Equal(desired []Engine) bool {
	put, drop := v.Diff(desired)
	return len(put)+len(drop) == 0
}
