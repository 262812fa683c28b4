package config_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// An evacuation that was delayed while its zone was evacuated and returned by others is
// rejected; a retry of the latest operation, or one received after all others, takes effect.
func TestEvacuation_SupersededIsRejected(t *testing.T) {
	Convey("a zone that was evacuated and returned", t, func() {
		state := config.NewState()
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		operate := func(kind config.OperationKind, observed uint64) config.Outcome {
			observation := &config.Observation{Revision: observed}
			return applyRequest(state, config.Request{Kind: kind, AnyRevision: true, Zone: "sur", Observed: observation})
		}
		previous := state.CurrentRevision()
		So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.OK)
		So(operate(config.OperationReturn, state.CurrentRevision()).Code, ShouldEqual, errcode.OK)
		returnedAt := state.CurrentRevision()

		Convey("stays returned when the first operation arrives late, or a duplicate of it", func() {
			for range 2 {
				So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.RevisionStale)
			}
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
			So(state.CurrentRevision(), ShouldEqual, returnedAt)
		})
		Convey("stays returned through a snapshot, too", func() {
			restored := config.NewState()
			restored.Restore(state.Snapshot())
			state = restored
			So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.RevisionStale)
		})
		Convey("stays returned after a late duplicate of the return", func() {
			So(operate(config.OperationReturn, previous).Code, ShouldEqual, errcode.OK)
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
		})
		Convey("can be evacuated by an operation that was received after the return", func() {
			So(operate(config.OperationEvacuate, returnedAt).Code, ShouldEqual, errcode.OK)
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeTrue)
			So(operate(config.OperationReturn, returnedAt).Code, ShouldEqual, errcode.RevisionStale)
		})
		Convey("affects no other zone, and no operation without an observation", func() {
			other := config.Request{
				Kind: config.OperationEvacuate, AnyRevision: true, Zone: "norte",
				Observed: &config.Observation{Revision: previous},
			}
			So(applyRequest(state, other).Code, ShouldEqual, errcode.OK)
			unobserved := config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"}
			So(applyRequest(state, unobserved).Code, ShouldEqual, errcode.OK)
		})
	})
}
