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
	for prefillBits := range 1 << 9 {
		leader := &ServiceLeader{desiredRoles: map[string]string{}}
		var engines []*engineObservation
		prefillCount := 0
		for engineIndex := range 9 {
			observation := &engineObservation{}
			observation.Name, observation.Zone = fmt.Sprint("engine-", engineIndex), fmt.Sprint("zone-", engineIndex/3)
			leader.desiredRoles[observation.Name] = pairing.RoleDecode
			if prefillBits>>engineIndex&1 > 0 {
				leader.desiredRoles[observation.Name] = pairing.RolePrefill
				prefillCount++
			}
			engines = append(engines, observation)
		}
		prefillCount = min(max(prefillCount, 2), 7)
		reassignments := 0
		for range 20 {
			previous := maps.Clone(leader.desiredRoles)
			if leader.distributeRoles(engines, prefillCount); !maps.Equal(previous, leader.desiredRoles) {
				reassignments++
			}
		}
		concentrated := isConcentrated(engines, leader.desiredRoles, pairing.RolePrefill) ||
			isConcentrated(engines, leader.desiredRoles, pairing.RoleDecode)
		if concentrated || reassignments > 4 {
			t.Fatalf("initial prefill engines %09b: %d changes, desired roles %v",
				prefillBits, reassignments, leader.desiredRoles)
		}
	}
}
