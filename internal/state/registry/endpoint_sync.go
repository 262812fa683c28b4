package registry

import (
	"cmp"
	"maps"
	"slices"
)

// maxDrainedIncarnations bounds the memory of dropped lives: a list that lags shows none of them
// again after so many others have gone.
const maxDrainedIncarnations = 128

// syncEndpoints takes over a change of the list. A life that has once been leaving stays so,
// even if it was dropped and comes back.
func (s *State) syncEndpoints(put []Engine, drop []string) {
	engines := maps.Clone(s.Engines)
	drained := slices.Clone(s.Left)
	for _, name := range drop {
		if engines[name].Leaving && !slices.Contains(drained, name) {
			drained = append(drained, name)
		}
		delete(engines, name)
	}
	for _, engine := range put {
		engine.Leaving = s.isDraining(engine)
		engines[engine.Name] = engine
	}
	s.Engines, s.Left = engines, drained[max(len(drained)-maxDrainedIncarnations, 0):]
}

// isDraining tells whether an engine is leaving, by its new entry or by what was known of its life.
func (v View) isDraining(engine Engine) bool {
	known := v.Engines[engine.Name]
	return engine.Leaving || known.Leaving && known.Incarnation == engine.Incarnation || slices.Contains(v.Left, engine.Name)
}

// Diff is the change that leads from this view to a wanted list, in the order of the
// names; both are empty if nothing differs. An engine that is listed twice is leaving if
// either entry says so.
func (v View) Diff(desired []Engine) (put []Engine, drop []string) {
	listed := make(map[string]Engine, len(desired))
	for _, engine := range desired {
		engine.Leaving = v.isDraining(engine) || listed[engine.Name].Leaving
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

// Equal tells whether a wanted list is what this view holds.
func (v View) Equal(desired []Engine) bool {
	put, drop := v.Diff(desired)
	return len(put)+len(drop) == 0
}
