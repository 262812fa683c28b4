package controlplane

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func newLeaderWithSixEngines() (*serviceLeader, registry.View) {
	leader := &serviceLeader{server: &Server{clock: clock.New()}, observations: map[string]*engineObservation{}, desiredRoles: map[string]string{}, roleSplits: map[string]*pairing.RoleBalancer{}}
	view := registry.NewState().View
	for number := range 6 {
		name, zone := fmt.Sprint("engine-", number), []string{"norte", "centro", "sur"}[number%3]
		view.Engines[name] = registry.Engine{Name: name, Service: "s", Hall: zone, Address: fmt.Sprintf("10.0.0.%d:1", number)}
		report := registry.Report{Name: name, Service: "s", Hall: zone, Version: "1", Part: pairing.RoleBoth}
		leader.observations[name] = &engineObservation{Report: report, baseline: report, reportedAt: leader.server.clock.Now()}
	}
	return leader, view
}

func TestDraftAssignment_DrainedEngineUnpairedUntilDrainCleared(t *testing.T) {
	Convey("a hall returns: its engine is ordered back first and paired only then", t, func() {
		leader, view := newLeaderWithSixEngines()
		evacuated := config.View{Evacuated: []string{"sur"}}
		assignment, desiredStates := leader.draftAssignment("s", 1, view, evacuated)
		So(assignment.Parts, ShouldNotContainKey, "engine-2")
		So(desiredStates, ShouldNotContainKey, "engine-2")
		leader.observations["engine-2"].unpairedSince -= roleChangeDelay
		_, desiredStates = leader.draftAssignment("s", 1, view, evacuated)
		So(desiredStates["engine-2"].Drain, ShouldBeTrue)
		leader.observations["engine-2"].Drained = true
		assignment, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Parts, ShouldNotContainKey, "engine-2")
		So(desiredStates["engine-2"].Drain, ShouldBeFalse)
		leader.observations["engine-2"].Drained = false
		assignment, _ = leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Parts, ShouldContainKey, "engine-2")
	})
}

func TestDraftAssignment_EngineUnpairedBeforeRoleChange(t *testing.T) {
	Convey("it is out of the contract, and not yet ordered", t, func() {
		leader, view := newLeaderWithSixEngines()
		_, desiredStates := leader.draftAssignment("s", 1, view, config.View{})
		prefillByZone := map[string]int{}
		for name, desired := range desiredStates {
			leader.observations[name].Part = desired.Role
			if desired.Role == pairing.RolePrefill {
				prefillByZone[leader.observations[name].Hall]++
			}
		}
		So(prefillByZone, ShouldResemble, map[string]int{"norte": 1, "centro": 1, "sur": 1})
		leader.desiredRoles["engine-0"] = pairing.RolePrefill
		leader.observations["engine-0"].Part = pairing.RoleDecode
		assignment, desiredStates := leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Parts, ShouldNotContainKey, "engine-0")
		So(desiredStates, ShouldNotContainKey, "engine-0")
		leader.observations["engine-0"].unpairedSince -= roleChangeDelay
		_, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(desiredStates["engine-0"].Role, ShouldEqual, pairing.RolePrefill)
	})
}

func TestDraftAssignment_AssignedEngineNotReassignedOrDrained(t *testing.T) {
	Convey("the routers may still send to it: neither moved nor drained", t, func() {
		leader, view := newLeaderWithSixEngines()
		assignment, desiredStates := leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Parts["engine-0"], ShouldEqual, desiredStates["engine-0"].Role)
		So(assignment.Parts["engine-0"], ShouldNotEqual, pairing.RoleBoth)
		view.Contracts["s"] = assignment
		for name, desired := range desiredStates {
			leader.observations[name].Part = desired.Role
		}
		engine := view.Engines["engine-0"]
		engine.Leaving = true
		view.Engines["engine-0"] = engine
		for range 2 {
			assignment, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
			So(assignment.Parts, ShouldNotContainKey, "engine-0")
			leader.observations["engine-0"].unpairedSince -= 2 * roleChangeDelay
			So(desiredStates, ShouldNotContainKey, "engine-0")
		}
		view.Contracts["s"] = assignment
		leader.observations["engine-0"].unpairedSince = 0
		_, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(desiredStates, ShouldNotContainKey, "engine-0")
		leader.observations["engine-0"].unpairedSince -= roleChangeDelay
		_, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(desiredStates["engine-0"].Drain, ShouldBeTrue)
	})
}

func TestDecideRetry_PreservesAtMostOnce(t *testing.T) {
	Convey("no ruling repeats what was streamed or a one-shot that may have started", t, func() {
		for bits := range 32 {
			failure := FailureReport{Streamed: bits&1 > 0, Proved: bits&2 > 0, OneShot: bits&4 > 0, Repeats: bits&8 > 0, Left: clock.Second}
			leader, _ := newLeaderWithSixEngines()
			leader.shard = &shardReplica{}
			leader.shard.status.Store(&Status{Owner: bits&16 > 0})
			decision := leader.decideRetry(failure)
			if decision.Retry {
				So(failure.Streamed, ShouldBeFalse)
				So(failure.Proved || !failure.OneShot, ShouldBeTrue)
				So(decision.Owner, ShouldBeTrue)
			}
		}
	})
}

// Whatever parts twelve engines in three halls have had, and whichever of them have
// returned, no hall ends with all the readers or all the token makers.
func TestDistributeRoles_NoZoneHoldsAllOfARole(t *testing.T) {
	for bits := range 1 << 9 {
		leader := &serviceLeader{desiredRoles: map[string]string{}}
		var live []*engineObservation
		prefillCount := 0
		for number := range 9 {
			observation := &engineObservation{}
			observation.Name, observation.Hall = fmt.Sprint("e", number), fmt.Sprint("h", number/3)
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
		if leader.isConcentrated(live, pairing.RolePrefill) || leader.isConcentrated(live, pairing.RoleDecode) || reassignments > 4 {
			t.Fatalf("bits %09b: %d moves, %v", bits, reassignments, leader.desiredRoles)
		}
	}
}
