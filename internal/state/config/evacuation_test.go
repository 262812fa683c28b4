package config_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// An evacuation that waited while its hall was evacuated and taken back by others does
// nothing; one that is only repeated, or came after all that happened, counts.
func TestEvacuation_SupersededIsRejected(t *testing.T) {
	Convey("a hall that was evacuated and taken back", t, func() {
		state := config.NewState()
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		operate := func(kind config.OperationKind, observed uint64) config.Outcome {
			return applyRequest(state, config.Request{Kind: kind, Whichever: true, Hall: "sur", Observed: &config.Observation{Sequence: observed}})
		}
		previous := state.Revision()
		So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.OK)
		So(operate(config.OperationReturn, state.Revision()).Code, ShouldEqual, errcode.OK)
		returnedAt := state.Revision()

		Convey("stays as it is when the first order arrives late, or a copy of it", func() {
			for range 2 {
				So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.RevisionStale)
			}
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
			So(state.Revision(), ShouldEqual, returnedAt)
		})
		Convey("stays as it is through a snapshot, too", func() {
			restored := config.NewState()
			restored.Restore(state.Snapshot())
			state = restored
			So(operate(config.OperationEvacuate, previous).Code, ShouldEqual, errcode.RevisionStale)
		})
		Convey("is taken back again by a late copy of what took it back", func() {
			So(operate(config.OperationReturn, previous).Code, ShouldEqual, errcode.OK)
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeFalse)
		})
		Convey("can be evacuated anew by an order that came after all that", func() {
			So(operate(config.OperationEvacuate, returnedAt).Code, ShouldEqual, errcode.OK)
			view := state.View()
			So(view.IsEvacuated("sur"), ShouldBeTrue)
			So(operate(config.OperationReturn, returnedAt).Code, ShouldEqual, errcode.RevisionStale)
		})
		Convey("hinders no other hall, and no order without an observation", func() {
			other := config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: "norte", Observed: &config.Observation{Sequence: previous}}
			So(applyRequest(state, other).Code, ShouldEqual, errcode.OK)
			So(applyRequest(state, config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: "sur"}).Code, ShouldEqual, errcode.OK)
		})
	})
}
