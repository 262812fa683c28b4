package config_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

// startMaintenanceRequest returns a request that schedules a window of one second.
func startMaintenanceRequest(region string, delay clock.Microseconds) config.Request {
	return config.Request{
		Kind: config.OperationStartMaintenance, AnyRevision: true, Regions: []string{"centre", "north", "south"},
		Window: maintenance.Window{Region: region, StartsAfter: delay, Duration: clock.Second},
	}
}

// cancelMaintenanceRequest returns a request that cancels the window of a region.
func cancelMaintenanceRequest(region string) config.Request {
	request := startMaintenanceRequest(region, 0)
	request.Kind = config.OperationCancelMaintenance
	return request
}

// maintenancePhaseRequest returns a request that records the phase of the window which was
// scheduled at this revision.
func maintenancePhaseRequest(region string, revision uint64, phase maintenance.Phase) config.Request {
	window := maintenance.Window{Region: region, Revision: revision, Phase: phase}
	return config.Request{Kind: config.OperationAdvanceMaintenance, Window: window}
}

func TestMaintenance_IsValidatedOnApply(t *testing.T) {
	Convey("an unknown region, an invalid duration and the last region are rejected", t, func() {
		state := config.NewState()
		So(applyRequest(state, startMaintenanceRequest("west", 0)).Code, ShouldEqual, errcode.UnknownRegion)
		So(applyRequest(state, startMaintenanceRequest("", 0)).Code, ShouldEqual, errcode.UnknownRegion)
		So(applyRequest(state, startMaintenanceRequest("north", -1)).Code, ShouldEqual, errcode.Malformed)
		So(applyRequest(state, startMaintenanceRequest("north", maintenance.MaxDuration+1)).Code, ShouldEqual, errcode.Malformed)
		So(state.Revision, ShouldEqual, uint64(0))
		So(applyRequest(state, startMaintenanceRequest("north", 0)).Code, ShouldEqual, errcode.OK)
		So(applyRequest(state, startMaintenanceRequest("south", 0)).Code, ShouldEqual, errcode.OK)
		So(applyRequest(state, startMaintenanceRequest("centre", 0)).Code, ShouldEqual, errcode.LastRegion)
		So(applyRequest(state, cancelMaintenanceRequest("south")).Code, ShouldEqual, errcode.OK)
		So(applyRequest(state, startMaintenanceRequest("centre", 0)).Code, ShouldEqual, errcode.OK)
		singleRegion := startMaintenanceRequest("only", 0)
		singleRegion.Regions = []string{"only"}
		So(applyRequest(config.NewState(), singleRegion).Code, ShouldEqual, errcode.LastRegion)
	})
	Convey("a window may be rescheduled until it has started, and its phase only advances", t, func() {
		state := config.NewState()
		So(applyRequest(state, startMaintenanceRequest("north", 5)).Revision, ShouldEqual, uint64(1))
		So(applyRequest(state, startMaintenanceRequest("north", 9)).Revision, ShouldEqual, uint64(2))
		So(len(state.MaintenanceWindows), ShouldEqual, 1)
		So(state.MaintenanceWindows[0].StartsAfter, ShouldEqual, clock.Microseconds(9))
		applyPhase := func(revision uint64, phase maintenance.Phase) errcode.Code {
			return applyRequest(state, maintenancePhaseRequest("north", revision, phase)).Code
		}
		So(applyPhase(1, maintenance.PhaseStarted), ShouldEqual, errcode.UnknownOperation)
		So(applyPhase(2, maintenance.PhaseEnded), ShouldEqual, errcode.OK)
		So(applyPhase(2, maintenance.PhaseStarted), ShouldEqual, errcode.UnknownOperation)
		So(applyRequest(state, startMaintenanceRequest("north", 9)).Code, ShouldEqual, errcode.MaintenanceStarted)
		So(applyRequest(state, cancelMaintenanceRequest("north")).Code, ShouldEqual, errcode.OK)
		So(state.MaintenanceWindows, ShouldBeEmpty)
		So(applyRequest(state, startMaintenanceRequest("north", 9)).Code, ShouldEqual, errcode.OK)
	})
	Convey("an operation with a key takes effect once, and a snapshot keeps the windows", t, func() {
		state := config.NewState()
		request := startMaintenanceRequest("north", 5)
		request.Key = "once"
		data := config.Operation{Request: request}.Encode()
		first, err := config.DecodeOutcome(state.Apply(data))
		So(err, ShouldBeNil)
		applyRequest(state, cancelMaintenanceRequest("north"))
		second, err := config.DecodeOutcome(state.Apply(data))
		So(err, ShouldBeNil)
		So(second, ShouldResemble, first)
		So(state.MaintenanceWindows, ShouldBeEmpty)
		applyRequest(state, startMaintenanceRequest("south", 5))
		decoded := config.NewState()
		decoded.Restore(state.Snapshot())
		So(decoded.MaintenanceWindows, ShouldResemble, state.MaintenanceWindows)
	})
}

// An operation that schedules a maintenance window is accepted before and after any other
// operation.
func TestMaintenance_CommutesWithOtherOperations(t *testing.T) {
	Convey("in all orders", t, func() {
		requests := []config.Request{
			startMaintenanceRequest("north", 5), replaceRoutesRequest(3, 0, "a"), patchRoutesRequest(5, 3, "t", nil, "b"),
			{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"},
		}
		simulation.Permutations(len(requests), func(order []int) {
			state := config.NewState()
			for _, index := range order {
				outcome := applyRequest(state, requests[index])
				if index == 0 {
					So(outcome.Code, ShouldEqual, errcode.OK)
				}
			}
			So(len(state.MaintenanceWindows), ShouldEqual, 1)
			So(state.MaintenanceWindows[0].StartsAfter, ShouldEqual, clock.Microseconds(5))
		})
	})
}
