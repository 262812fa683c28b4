package configuration_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

func drain(region string, begins schedule.Microseconds) configuration.Request {
	return configuration.Request{
		Kind: configuration.Notice, Whichever: true, Regions: []string{"centre", "north", "south"},
		Notice: notice.Notice{Region: region, Begins: begins, Window: schedule.Second},
	}
}

func back(region string) configuration.Request {
	request := drain(region, 0)
	request.Kind = configuration.NoticeEnd
	return request
}

func noted(region string, sequence uint64, phase notice.Phase) configuration.Request {
	return configuration.Request{Kind: configuration.NoticePhase, Notice: notice.Notice{Region: region, Sequence: sequence, Phase: phase}}
}

func TestNoticesAreJudgedWhereTheLogIsApplied(test *testing.T) {
	Convey("an unknown region, a span without sense and the last region are declined, and change nothing", test, func() {
		state := configuration.NewState()
		So(applied(state, drain("west", 0)).Code, ShouldEqual, mishap.UnknownRegion)
		So(applied(state, drain("", 0)).Code, ShouldEqual, mishap.UnknownRegion)
		So(applied(state, drain("north", -1)).Code, ShouldEqual, mishap.Malformed)
		So(applied(state, drain("north", notice.Longest+1)).Code, ShouldEqual, mishap.Malformed)
		So(state.Sequence, ShouldEqual, uint64(0))
		So(applied(state, drain("north", 0)).Code, ShouldEqual, mishap.Fine)
		So(applied(state, drain("south", 0)).Code, ShouldEqual, mishap.Fine)
		So(applied(state, drain("centre", 0)).Code, ShouldEqual, mishap.LastRegion)
		So(applied(state, back("south")).Code, ShouldEqual, mishap.Fine)
		So(applied(state, drain("centre", 0)).Code, ShouldEqual, mishap.Fine)
		one := drain("only", 0)
		one.Regions = []string{"only"}
		So(applied(configuration.NewState(), one).Code, ShouldEqual, mishap.LastRegion)
	})
	Convey("a notice may be put off until it has begun; a phase only ever becomes later, and is of one notice", test, func() {
		state := configuration.NewState()
		So(applied(state, drain("north", 5)).Sequence, ShouldEqual, uint64(1))
		So(applied(state, drain("north", 9)).Sequence, ShouldEqual, uint64(2))
		So(len(state.Notices), ShouldEqual, 1)
		So(state.Notices[0].Begins, ShouldEqual, schedule.Microseconds(9))
		So(applied(state, noted("north", 1, notice.Begun)).Code, ShouldEqual, mishap.UnknownOperation)
		So(applied(state, noted("north", 2, notice.Over)).Code, ShouldEqual, mishap.Fine)
		So(applied(state, noted("north", 2, notice.Begun)).Code, ShouldEqual, mishap.UnknownOperation)
		So(applied(state, drain("north", 9)).Code, ShouldEqual, mishap.NoticeBegun)
		So(applied(state, back("north")).Code, ShouldEqual, mishap.Fine)
		So(state.Notices, ShouldBeEmpty)
		So(applied(state, drain("north", 9)).Code, ShouldEqual, mishap.Fine)
	})
	Convey("a key takes effect once, and a snapshot keeps notices", test, func() {
		state := configuration.NewState()
		request := drain("north", 5)
		request.Key = "once"
		data := configuration.Encode(configuration.Operation{Request: request})
		first, second := configuration.Outcome{}, configuration.Outcome{}
		So(gob.NewDecoder(bytes.NewReader(state.Apply(data))).Decode(&first), ShouldBeNil)
		applied(state, back("north"))
		So(gob.NewDecoder(bytes.NewReader(state.Apply(data))).Decode(&second), ShouldBeNil)
		So(second, ShouldResemble, first)
		So(state.Notices, ShouldBeEmpty)
		applied(state, drain("south", 5))
		fresh := configuration.NewState()
		fresh.Restore(state.Snapshot())
		So(fresh.Notices, ShouldResemble, state.Notices)
	})
}

// A notice means the same before and after any other change, and loses no race.
func TestNoticesCommute(test *testing.T) {
	Convey("in all orders", test, func() {
		requests := []configuration.Request{
			drain("north", 5), whole(3, 0, "a"), change(5, 3, "t", nil, "b"),
			{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"},
		}
		simulation.Orders(len(requests), func(order []int) {
			state := configuration.NewState()
			for _, place := range order {
				outcome := applied(state, requests[place])
				if place == 0 {
					So(outcome.Code, ShouldEqual, mishap.Fine)
				}
			}
			So(len(state.Notices), ShouldEqual, 1)
			So(state.Notices[0].Begins, ShouldEqual, schedule.Microseconds(5))
		})
	})
}
