package leadertasks

import "coursepass/internal/state/pairing"

// roleDistribution is the distribution of the two roles among the engines of one model version while the
// distribution is being changed.
type roleDistribution struct {
	// desiredRoles is the leader's map of desired roles, keyed by engine name. Role changes are written to it.
	desiredRoles map[string]string
	engines      []*engineObservation
	prefillCount int
	// prefillByZone is the number of prefill engines in each zone.
	prefillByZone map[string]int
}

// distributeRoles moves the number of prefill engines toward the target. Among engines that already have roles it
// changes one engine per call. It keeps current roles where it can; otherwise it takes engines from the zones
// that have the most engines of the role to be reduced. The lock must be held.
func (l *ServiceLeader) distributeRoles(engines []*engineObservation, targetPrefill int) {
	distribution := &roleDistribution{
		desiredRoles:  l.desiredRoles,
		engines:       engines,
		prefillByZone: map[string]int{},
	}
	unassigned := distribution.initializeRoles()
	for count := len(unassigned); count > 0 && distribution.prefillCount < targetPrefill; count-- {
		distribution.changeOneEngine(pairing.RolePrefill, unassigned)
	}
	if distribution.prefillCount < targetPrefill {
		distribution.changeOneEngine(pairing.RolePrefill, engines)
	}
	if distribution.prefillCount > targetPrefill {
		distribution.changeOneEngine(pairing.RoleDecode, engines)
	}
	if distribution.prefillCount == targetPrefill && len(unassigned) == 0 {
		distribution.reduceConcentration()
	}
}

// initializeRoles counts the engines that have the prefill role. It gives the decode role to the engines that have no
// role, and returns those engines.
func (r *roleDistribution) initializeRoles() []*engineObservation {
	var unassigned []*engineObservation
	for _, observation := range r.engines {
		switch r.desiredRoles[observation.Name] {
		case pairing.RolePrefill:
			r.prefillCount++
			r.prefillByZone[observation.Zone]++
		case pairing.RoleDecode:
		default:
			unassigned = append(unassigned, observation)
			r.desiredRoles[observation.Name] = pairing.RoleDecode
		}
	}
	return unassigned
}

// changeOneEngine gives the role to one candidate that has the other role: the first such candidate in the best zone.
// For the prefill role, that is the zone with the fewest prefill engines; for the decode role, the zone with the
// most prefill engines.
func (r *roleDistribution) changeOneEngine(role string, candidates []*engineObservation) {
	otherRole, prefillDelta := pairing.RolePrefill, -1
	if role == pairing.RolePrefill {
		otherRole, prefillDelta = pairing.RoleDecode, 1
	}
	var best *engineObservation
	for _, candidate := range candidates {
		if r.desiredRoles[candidate.Name] != otherRole {
			continue
		}
		if best == nil || prefillDelta*r.prefillByZone[candidate.Zone] < prefillDelta*r.prefillByZone[best.Zone] {
			best = candidate
		}
	}
	if best == nil {
		return
	}
	r.desiredRoles[best.Name] = role
	r.prefillByZone[best.Zone] += prefillDelta
	r.prefillCount += prefillDelta
}

// reduceConcentration gives a role to one more engine if a single zone has all engines of that role. After that the
// number of prefill engines differs from the target by one, so the next call of distributeRoles changes an engine
// of another zone in the opposite direction.
func (r *roleDistribution) reduceConcentration() {
	switch {
	case isConcentrated(r.engines, r.desiredRoles, pairing.RolePrefill):
		r.changeOneEngine(pairing.RolePrefill, r.engines)
	case isConcentrated(r.engines, r.desiredRoles, pairing.RoleDecode):
		r.changeOneEngine(pairing.RoleDecode, r.engines)
	}
}

// isConcentrated reports whether a single zone has all engines of a role, and more than one of them, while other
// zones have engines.
func isConcentrated(engines []*engineObservation, desiredRoles map[string]string, role string) bool {
	countByZone := map[string]int{}
	allZones := map[string]bool{}
	for _, observation := range engines {
		allZones[observation.Zone] = true
		if desiredRoles[observation.Name] == role {
			countByZone[observation.Zone]++
		}
	}
	if len(countByZone) != 1 || len(allZones) == 1 {
		return false
	}
	for _, count := range countByZone {
		return count > 1
	}
	return false
}
