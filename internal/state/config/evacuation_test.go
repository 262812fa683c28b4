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
			observation := &config.Observation{Sequence: observed}
			return applyRequest(state, config.Request{Kind: kind, Whichever: true, Hall: "sur", Observed: observation})
		}
		previous := state.Revision()
		So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.OK)
		So(operate(config.OperationReturn, state.Revision()).Code, ShouldEqual, errcode.OK)
		returnedAt := state.Revision()

		Convey("stays returned when the first operation arrives late, or a duplicate of it", func() {
			for range 2 {
				So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.RevisionStale)
			}
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
			So(state.Revision(), ShouldEqual, returnedAt)
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
				Kind: config.OperationEvacuate, Whichever: true, Hall: "norte",
				Observed: &config.Observation{Sequence: previous},
			}
			So(applyRequest(state, other).Code, ShouldEqual, errcode.OK)
			unobserved := config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: "sur"}
			So(applyRequest(state, unobserved).Code, ShouldEqual, errcode.OK)
		})
	})
}
