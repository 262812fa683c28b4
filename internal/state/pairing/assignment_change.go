package pairing

import (
	"cmp"
	"maps"
	"slices"
)

// AssignmentChange is the difference between two assignments of a service. Leaders commit changes in place of whole
// assignments because an assignment of 3,000 engines takes 100 KB and would be committed again whenever an engine
// joins, leaves or changes its role. AssignmentChange is encoded with encoding/gob in log entries: the names, order
// and types of its fields and of the fields of EngineRole are part of the format and must not change.
type AssignmentChange struct {
	Service string
	// BaseTerm and BaseVersion are the term and the version of the assignment to which the change applies.
	BaseTerm    uint64
	BaseVersion uint64
	// Term and Owner are the term and the owner of the resulting assignment. The version of the resulting
	// assignment is BaseVersion+1.
	Term  uint64
	Owner string
	// Engines holds the engines that were added or have changed.
	Engines []EngineRole
	// RemovedEngines holds the engines that are no longer assigned.
	RemovedEngines []string
	// The following lists hold the elements added to and removed from ChangingRole, Routers and PlacementOwners of
	// the assignment, which are treated as sets.
	AddedChanging   []string
	RemovedChanging []string
	AddedRouters    []string
	RemovedRouters  []string
	AddedOwners     []PlacementOwner
	RemovedOwners   []PlacementOwner
}

// EngineRole is the role and the affinity group of an engine.
type EngineRole struct {
	Name string
	Role string
	// Group is empty if the engine has no affinity group.
	Group string
}

// ChangeFrom returns the change that turns a committed assignment into this one; false if a change can't express
// the difference, so that the whole assignment must be committed.
func (a Assignment) ChangeFrom(base Assignment) (AssignmentChange, bool) {
	change := AssignmentChange{
		Service:     a.Service,
		BaseTerm:    base.Term,
		BaseVersion: base.Version,
		Term:        a.Term,
		Owner:       a.Owner,
	}
	for _, name := range slices.Sorted(maps.Keys(a.Roles)) {
		current := EngineRole{Name: name, Role: a.Roles[name], Group: a.AffinityGroups[name]}
		role, assigned := base.Roles[name]
		if !assigned || current != (EngineRole{Name: name, Role: role, Group: base.AffinityGroups[name]}) {
			change.Engines = append(change.Engines, current)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(base.Roles)) {
		if _, assigned := a.Roles[name]; !assigned {
			change.RemovedEngines = append(change.RemovedEngines, name)
		}
	}
	change.AddedChanging, change.RemovedChanging = setDifference(base.ChangingRole, a.ChangingRole)
	change.AddedRouters, change.RemovedRouters = setDifference(base.Routers, a.Routers)
	change.AddedOwners, change.RemovedOwners = setDifference(base.PlacementOwners, a.PlacementOwners)
	result, applies := change.Apply(base)
	return change, applies && result.Equal(a)
}

// Apply returns the assignment that results from applying the change to base; false if the change applies to
// another assignment than base.
func (c *AssignmentChange) Apply(base Assignment) (Assignment, bool) {
	if base.Term != c.BaseTerm || base.Version != c.BaseVersion || base.Service != c.Service {
		return Assignment{}, false
	}
	result := base
	result.Term, result.Owner, result.Version = c.Term, c.Owner, base.Version+1
	result.Roles, result.AffinityGroups = cloneMap(base.Roles), cloneMap(base.AffinityGroups)
	for _, name := range c.RemovedEngines {
		delete(result.Roles, name)
		delete(result.AffinityGroups, name)
	}
	for _, engine := range c.Engines {
		result.Roles[engine.Name] = engine.Role
		delete(result.AffinityGroups, engine.Name)
		if engine.Group != "" {
			result.AffinityGroups[engine.Name] = engine.Group
		}
	}
	result.ChangingRole = applySetChange(base.ChangingRole, c.AddedChanging, c.RemovedChanging, cmp.Compare[string])
	result.Routers = applySetChange(base.Routers, c.AddedRouters, c.RemovedRouters, cmp.Compare[string])
	result.PlacementOwners = applySetChange(base.PlacementOwners, c.AddedOwners, c.RemovedOwners, compareOwners)
	return result, true
}

// cloneMap returns a copy of the map. The copy is never nil.
func cloneMap(original map[string]string) map[string]string {
	clone := make(map[string]string, len(original))
	maps.Copy(clone, original)
	return clone
}

func compareOwners(left, right PlacementOwner) int {
	return cmp.Or(
		cmp.Compare(left.Router, right.Router),
		cmp.Compare(left.Address, right.Address),
		cmp.Compare(left.Zone, right.Zone),
	)
}

// setDifference returns the elements that are only in the later list and those that are only in the earlier list.
func setDifference[E comparable](earlier, later []E) (added, removed []E) {
	return missingFrom(earlier, later), missingFrom(later, earlier)
}

// missingFrom returns the elements of the list that are not in the set.
func missingFrom[E comparable](set, list []E) []E {
	contains := make(map[E]bool, len(set))
	for _, element := range set {
		contains[element] = true
	}
	var missing []E
	for _, element := range list {
		if !contains[element] {
			missing = append(missing, element)
		}
	}
	return missing
}

// applySetChange returns the set without the removed and with the added elements, sorted. The result is a new slice,
// except that applySetChange returns the set itself, unsorted, if nothing is added or removed.
func applySetChange[E comparable](set, added, removed []E, compare func(left, right E) int) []E {
	if len(added)+len(removed) == 0 {
		return set
	}
	changed := slices.Concat(missingFrom(removed, set), missingFrom(set, added))
	slices.SortFunc(changed, compare)
	return changed
}
