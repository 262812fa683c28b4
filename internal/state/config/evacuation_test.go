package configuration_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// An evacuation that waited while its hall was evacuated and taken back by others does
// nothing; one that is only repeated, or came after all that happened, counts.
func TestAnOvertakenEvacuationIsNotCarriedOut(test *testing.T) {
	Convey("a hall that was evacuated and taken back", test, func() {
		state := configuration.NewState()
		applied(state, whole(1, 0, "a"))
		order := func(kind configuration.Kind, observed uint64) configuration.Outcome {
			return applied(state, configuration.Request{Kind: kind, Whichever: true, Hall: "sur", Observed: &configuration.Observation{Sequence: observed}})
		}
		before := state.Number()
		So(order(configuration.Evacuate, before).Code, ShouldEqual, mishap.Fine)
		So(order(configuration.Return, state.Number()).Code, ShouldEqual, mishap.Fine)
		taken := state.Number()

		Convey("stays as it is when the first order arrives late, or a copy of it", func() {
			for range 2 {
				So(order(configuration.Evacuate, before).Code, ShouldEqual, mishap.SequenceStale)
			}
			view := state.View()
			So(view.Gone("sur"), ShouldBeFalse)
			So(state.Number(), ShouldEqual, taken)
		})
		Convey("stays as it is through a snapshot, too", func() {
			copied := configuration.NewState()
			copied.Restore(state.Snapshot())
			state = copied
			So(order(configuration.Evacuate, before).Code, ShouldEqual, mishap.SequenceStale)
		})
		Convey("is taken back again by a late copy of what took it back", func() {
			So(order(configuration.Return, before).Code, ShouldEqual, mishap.Fine)
			view := state.View()
			So(view.Gone("sur"), ShouldBeFalse)
		})
		Convey("can be evacuated anew by an order that came after all that", func() {
			So(order(configuration.Evacuate, taken).Code, ShouldEqual, mishap.Fine)
			view := state.View()
			So(view.Gone("sur"), ShouldBeTrue)
			So(order(configuration.Return, taken).Code, ShouldEqual, mishap.SequenceStale)
		})
		Convey("hinders no other hall, and no order without an observation", func() {
			other := configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "norte", Observed: &configuration.Observation{Sequence: before}}
			So(applied(state, other).Code, ShouldEqual, mishap.Fine)
			So(applied(state, configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"}).Code, ShouldEqual, mishap.Fine)
		})
	})
}
