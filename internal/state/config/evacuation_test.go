package config_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// An evacuation is delayed, and meanwhile its zone is evacuated and returned by other operations:
// the delayed one must be rejected, since it would undo an acknowledged return. A duplicate of the
// latest operation and an operation that was received after all others are accepted.
func TestEvacuation_SupersededIsRejected(t *testing.T) {
	Convey("a zone that was evacuated and returned", t, func() {
		state := config.NewState()
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		applyObserved := func(kind config.OperationKind, observed uint64) config.Outcome {
			observation := &config.Observation{Revision: observed}
			return applyRequest(state, config.Request{Kind: kind, AnyRevision: true, Zone: "sur", Observed: observation})
		}
		initialRevision := state.CurrentRevision()
		So(applyObserved(config.OperationEvacuate, initialRevision).Code, ShouldEqual, errcode.OK)
		So(applyObserved(config.OperationReturn, state.CurrentRevision()).Code, ShouldEqual, errcode.OK)
		returnRevision := state.CurrentRevision()

		Convey("stays returned when a delayed evacuation or a duplicate of it is applied", func() {
			for range 2 {
				So(applyObserved(config.OperationEvacuate, initialRevision).Code, ShouldEqual, errcode.RevisionStale)
			}
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
			So(state.CurrentRevision(), ShouldEqual, returnRevision)
		})
		Convey("stays returned when a delayed evacuation is applied after a restore from a snapshot", func() {
			restored := config.NewState()
			restored.Restore(state.Snapshot())
			state = restored
			So(applyObserved(config.OperationEvacuate, initialRevision).Code, ShouldEqual, errcode.RevisionStale)
		})
		Convey("stays returned after a late duplicate of the return", func() {
			So(applyObserved(config.OperationReturn, initialRevision).Code, ShouldEqual, errcode.OK)
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
		})
		Convey("can be evacuated by an operation that was received after the return", func() {
			So(applyObserved(config.OperationEvacuate, returnRevision).Code, ShouldEqual, errcode.OK)
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeTrue)
			So(applyObserved(config.OperationReturn, returnRevision).Code, ShouldEqual, errcode.RevisionStale)
		})
		Convey("blocks no operation on another zone and none without an observation", func() {
			other := config.Request{
				Kind: config.OperationEvacuate, AnyRevision: true, Zone: "norte",
				Observed: &config.Observation{Revision: initialRevision},
			}
			So(applyRequest(state, other).Code, ShouldEqual, errcode.OK)
			unobserved := config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"}
			So(applyRequest(state, unobserved).Code, ShouldEqual, errcode.OK)
		})
	})
}
