package leadertasks

import (
	"fmt"
	"maps"
	"testing"

	"coursepass/internal/state/pairing"
)

// From every distribution of roles among nine engines in three zones, repeated calls reach a distribution in which
// no zone has all the prefill engines or all the decode engines, with at most four changes.
func TestDistributeRoles_NoZoneHoldsAllOfARole(t *testing.T) {
	for bits := range 1 << 9 {
		leader := &ServiceLeader{desiredRoles: map[string]string{}}
		var live []*engineObservation
		prefillCount := 0
		for number := range 9 {
			observation := &engineObservation{}
			observation.Name, observation.Zone = fmt.Sprint("e", number), fmt.Sprint("h", number/3)
			leader.desiredRoles[observation.Name] = pairing.RoleDecode
			if bits>>number&1 > 0 {
				leader.desiredRoles[observation.Name] = pairing.RolePrefill
				prefillCount++
			}
			live = append(live, observation)
		}
		prefillCount = min(max(prefillCount, 2), 7)
		reassignments := 0
		for range 20 {
			previous := maps.Clone(leader.desiredRoles)
			if leader.distributeRoles(live, prefillCount); !maps.Equal(previous, leader.desiredRoles) {
				reassignments++
			}
		}
		concentrated := isConcentrated(live, leader.desiredRoles, pairing.RolePrefill) ||
			isConcentrated(live, leader.desiredRoles, pairing.RoleDecode)
		if concentrated || reassignments > 4 {
			t.Fatalf("initial prefill engines %09b: %d changes, desired roles %v", bits, reassignments, leader.desiredRoles)
		}
	}
}
