package leadertasks

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/engineplan"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// fixedFleet is a fleet without routers. Only its evacuated zones are unavailable.
type fixedFleet struct{ Fleet }

func (fixedFleet) ActiveRouters(clock.Microseconds) []string { return nil }

func (fixedFleet) ZoneUnavailable(configuration *config.View, zone string) bool {
	return configuration.IsEvacuated(zone)
}

func newLeaderWithSixEngines() (*ServiceLeader, registry.View) {
	leader := &ServiceLeader{
		options:       Options{Clock: clock.New(), Fleet: fixedFleet{}},
		observations:  map[string]*engineObservation{},
		desiredRoles:  map[string]string{},
		roleBalancers: map[string]*pairing.RoleBalancer{},
	}
	view := registry.NewState().View
	for engineIndex := range 6 {
		name, zone := fmt.Sprint("engine-", engineIndex), []string{"norte", "centro", "sur"}[engineIndex%3]
		address := fmt.Sprintf("10.0.0.%d:1", engineIndex)
		view.Engines[name] = registry.Engine{Name: name, Service: "s", Zone: zone, Address: address}
		report := registry.Report{Name: name, Service: "s", Zone: zone, Version: "1", Role: pairing.RoleBoth}
		leader.observations[name] = &engineObservation{
			Report:     report,
			baseline:   report,
			reportedAt: leader.options.Clock.Now(),
		}
	}
	return leader, view
}

// An engine that reports itself as drained must not be paired when its zone returns. It must be commanded to end its
// drain first.
func TestDraftAssignment_DrainedEngineUnpairedUntilDrainCleared(t *testing.T) {
	Convey("when a zone returns, its engine is commanded to end its drain first and is paired only after that", t, func() {
		leader, view := newLeaderWithSixEngines()
		evacuated := config.View{Evacuated: []string{"sur"}}
		assignment, desiredStates := leader.draftAssignment("s", 1, view, evacuated)
		So(assignment.Roles, ShouldNotContainKey, "engine-2")
		So(desiredStates, ShouldNotContainKey, "engine-2")
		leader.observations["engine-2"].unpairedSince -= engineplan.RoleChangeDelay
		_, desiredStates = leader.draftAssignment("s", 1, view, evacuated)
		So(desiredStates["engine-2"].Drain, ShouldBeTrue)
		leader.observations["engine-2"].Drained = true
		assignment, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Roles, ShouldNotContainKey, "engine-2")
		So(desiredStates["engine-2"].Drain, ShouldBeFalse)
		leader.observations["engine-2"].Drained = false
		assignment, _ = leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Roles, ShouldContainKey, "engine-2")
	})
}

// An engine that changes its role must have left the assignment before it receives the command, or routers would
// still send it requests for its old role.
func TestDraftAssignment_EngineUnpairedBeforeRoleChange(t *testing.T) {
	Convey("an engine that changes its role leaves the assignment first and is commanded later", t, func() {
		leader, view := newLeaderWithSixEngines()
		_, desiredStates := leader.draftAssignment("s", 1, view, config.View{})
		prefillByZone := map[string]int{}
		for name, desired := range desiredStates {
			leader.observations[name].Role = desired.Role
			if desired.Role == pairing.RolePrefill {
				prefillByZone[leader.observations[name].Zone]++
			}
		}
		So(prefillByZone, ShouldResemble, map[string]int{"norte": 1, "centro": 1, "sur": 1})
		leader.desiredRoles["engine-0"] = pairing.RolePrefill
		leader.observations["engine-0"].Role = pairing.RoleDecode
		assignment, desiredStates := leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Roles, ShouldNotContainKey, "engine-0")
		So(desiredStates, ShouldNotContainKey, "engine-0")
		leader.observations["engine-0"].unpairedSince -= engineplan.RoleChangeDelay
		_, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(desiredStates["engine-0"].Role, ShouldEqual, pairing.RolePrefill)
	})
}

// The delay before a drain must count from the committed assignment that no longer lists the engine. A draft without
// the engine that has not been committed must not start the delay.
func TestDraftAssignment_AssignedEngineNotReassignedOrDrained(t *testing.T) {
	Convey("an engine to which routers may still send is neither drained nor given another role", t, func() {
		leader, view := newLeaderWithSixEngines()
		assignment, desiredStates := leader.draftAssignment("s", 1, view, config.View{})
		So(assignment.Roles["engine-0"], ShouldEqual, desiredStates["engine-0"].Role)
		So(assignment.Roles["engine-0"], ShouldNotEqual, pairing.RoleBoth)
		view.Assignments["s"] = assignment
		for name, desired := range desiredStates {
			leader.observations[name].Role = desired.Role
		}
		engine := view.Engines["engine-0"]
		engine.Draining = true
		view.Engines["engine-0"] = engine
		for range 2 {
			assignment, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
			So(assignment.Roles, ShouldNotContainKey, "engine-0")
			leader.observations["engine-0"].unpairedSince -= 2 * engineplan.RoleChangeDelay
			So(desiredStates, ShouldNotContainKey, "engine-0")
		}
		view.Assignments["s"] = assignment
		leader.observations["engine-0"].unpairedSince = 0
		_, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(desiredStates, ShouldNotContainKey, "engine-0")
		leader.observations["engine-0"].unpairedSince -= engineplan.RoleChangeDelay
		_, desiredStates = leader.draftAssignment("s", 1, view, config.View{})
		So(desiredStates["engine-0"].Drain, ShouldBeTrue)
	})
}
