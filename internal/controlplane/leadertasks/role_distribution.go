package leadertasks

import "coursepass/internal/state/pairing"

// roleDistribution is the division of the two roles among the engines of one model version while it is
// being changed.
type roleDistribution struct {
	// desiredRoles are those of the leader, by engine; assignments are written to them.
	desiredRoles map[string]string
	engines      []*engineObservation
	prefillCount int
	// prefillByZone has the number of prefill engines.
	prefillByZone map[string]int
}

// distributeRoles moves the number of prefill engines to the target, by one engine at a time where the
// engines have roles already. It keeps present roles where it can, and else takes engines from the
// zones that have most of the role to be reduced. The lock must be held.
func (l *ServiceLeader) distributeRoles(live []*engineObservation, targetPrefill int) {
	distribution := &roleDistribution{
		desiredRoles:  l.desiredRoles,
		engines:       live,
		prefillByZone: map[string]int{},
	}
	unassigned := distribution.countRoles()
	for count := len(unassigned); count > 0 && distribution.prefillCount < targetPrefill; count-- {
		distribution.changeOneTo(pairing.RolePrefill, unassigned)
	}
	if distribution.prefillCount < targetPrefill {
		distribution.changeOneTo(pairing.RolePrefill, live)
	}
	if distribution.prefillCount > targetPrefill {
		distribution.changeOneTo(pairing.RoleDecode, live)
	}
	if distribution.prefillCount == targetPrefill && len(unassigned) == 0 {
		distribution.spreadOne()
	}
}

// countRoles counts the engines that have a role. It gives the decode role to the others, and returns
// those.
func (r *roleDistribution) countRoles() []*engineObservation {
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

// changeOneTo gives the role to the first of the candidates with the other role in the best zone: the
// one with the fewest prefill engines for a prefill engine, the one with the most for a decode engine.
func (r *roleDistribution) changeOneTo(role string, candidates []*engineObservation) {
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

// spreadOne changes one engine if a single zone has all engines of a role. The next call changes one
// back elsewhere, since the count is off the target by then.
func (r *roleDistribution) spreadOne() {
	switch {
	case isConcentrated(r.engines, r.desiredRoles, pairing.RolePrefill):
		r.changeOneTo(pairing.RolePrefill, r.engines)
	case isConcentrated(r.engines, r.desiredRoles, pairing.RoleDecode):
		r.changeOneTo(pairing.RoleDecode, r.engines)
	}
}

// isConcentrated tells whether a single zone has all engines of a role, and more than one of them, while
// there are engines in other zones.
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
