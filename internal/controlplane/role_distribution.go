package controlplane

import "coursepass/internal/state/pairing"

// distributeRoles keeps present parts where it can, and else takes engines from the halls
// that have most of the part to be reduced.
func (s *serviceLeader) distributeRoles(live []*engineObservation, targetPrefill int) {
	var unassigned []*engineObservation
	prefillCount := 0
	prefillPerZone := map[string]int{}
	for _, observation := range live {
		switch s.desiredRoles[observation.Name] {
		case pairing.RolePrefill:
			prefillCount++
			prefillPerZone[observation.Hall]++
		case pairing.RoleDecode:
		default:
			unassigned = append(unassigned, observation)
			s.desiredRoles[observation.Name] = pairing.RoleDecode
		}
	}
	reassign := func(from, to string, candidates []*engineObservation, delta int) {
		best := -1
		for index, observation := range candidates {
			if s.desiredRoles[observation.Name] == from && (best < 0 || delta*prefillPerZone[observation.Hall] < delta*prefillPerZone[candidates[best].Hall]) {
				best = index
			}
		}
		if best >= 0 {
			s.desiredRoles[candidates[best].Name] = to
			prefillPerZone[candidates[best].Hall] += delta
			prefillCount += delta
		}
	}
	for count := len(unassigned); count > 0 && prefillCount < targetPrefill; count-- {
		reassign(pairing.RoleDecode, pairing.RolePrefill, unassigned, 1)
	}
	if prefillCount < targetPrefill {
		reassign(pairing.RoleDecode, pairing.RolePrefill, live, 1)
	}
	if prefillCount > targetPrefill {
		reassign(pairing.RolePrefill, pairing.RoleDecode, live, -1)
	}
	// One hall must not have all of a part: the next turn takes one back there.
	if prefillCount == targetPrefill && len(unassigned) == 0 {
		switch {
		case s.isConcentrated(live, pairing.RolePrefill):
			reassign(pairing.RoleDecode, pairing.RolePrefill, live, 1)
		case s.isConcentrated(live, pairing.RoleDecode):
			reassign(pairing.RolePrefill, pairing.RoleDecode, live, -1)
		}
	}
}

// isConcentrated tells whether all engines of one part stand in one hall, while others stand
// elsewhere.
func (s *serviceLeader) isConcentrated(live []*engineObservation, role string) bool {
	zones, allZones := map[string]int{}, map[string]bool{}
	for _, observation := range live {
		allZones[observation.Hall] = true
		if s.desiredRoles[observation.Name] == role {
			zones[observation.Hall]++
		}
	}
	if len(zones) != 1 || len(allZones) < 2 {
		return false
	}
	for _, count := range zones {
		return count > 1
	}
	return false
}
