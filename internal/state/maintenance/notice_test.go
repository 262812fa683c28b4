package notice_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/maintenance"
)

const second = schedule.Second

func told(sequence uint64, phase notice.Phase) notice.Notice {
	return notice.Notice{Region: "north", Begins: 10 * second, Window: 20 * second, Sequence: sequence, Phase: phase}
}

func TestTheMomentsOfANotice(test *testing.T) {
	Convey("a region is left on the schedule that was heard", test, func() {
		board := &notice.Board{}
		So(board.Any(), ShouldBeFalse)
		board.Put(100*second, []notice.Notice{told(3, notice.Told)})
		So(board.Begun(110*second-1, "north"), ShouldBeFalse)
		So(board.Begun(110*second, "north"), ShouldBeTrue)
		So(board.Begun(200*second, "south"), ShouldBeFalse)
		So(board.Phase(130*second-1, "north"), ShouldEqual, notice.Begun)
		So(board.Phase(130*second, "north"), ShouldEqual, notice.Over)
	})
	Convey("hearing it again changes nothing, but a later one starts anew", test, func() {
		board := &notice.Board{}
		board.Put(100*second, []notice.Notice{told(3, notice.Told)})
		board.Put(105*second, []notice.Notice{told(3, notice.Told)})
		So(board.Begun(110*second, "north"), ShouldBeTrue)
		board.Put(106*second, []notice.Notice{told(4, notice.Told)})
		So(board.Begun(110*second, "north"), ShouldBeFalse)
		So(board.Begun(116*second, "north"), ShouldBeTrue)
		board.Put(120*second, nil)
		So(board.Begun(120*second, "north"), ShouldBeFalse)
	})
	Convey("who hears late goes by the phase that the leader noted, in whatever order", test, func() {
		phases := []notice.Phase{notice.Told, notice.Begun, notice.Over}
		for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			board := &notice.Board{}
			reached := notice.Told
			for _, place := range order {
				board.Put(100*second, []notice.Notice{told(3, phases[place])})
				reached = max(reached, phases[place])
				So(board.Phase(100*second, "north"), ShouldEqual, reached)
			}
		}
	})
	Convey("sessions leave one by one over the window, and new work before it", test, func() {
		board := &notice.Board{}
		board.Put(100*second, []notice.Notice{told(3, notice.Told)})
		leave := func(at schedule.Microseconds) (due, shut int) {
			for number := range 1000 {
				name := fmt.Sprint("flag-", number)
				if board.Due(at, "north", name) {
					due++
				}
				if board.Shut(at, at+second, true, name)["north"] {
					shut++
				}
			}
			return due, shut
		}
		due, shut := leave(104 * second)
		So(due+shut, ShouldEqual, 0)
		due, shut = leave(107 * second)
		So(due, ShouldEqual, 0)
		So(shut, ShouldBeBetween, 350, 600)
		due, shut = leave(110*second - notice.Lead)
		So(due, ShouldEqual, 0)
		So(shut, ShouldEqual, 1000)
		due, _ = leave(115 * second)
		So(due, ShouldBeBetween, 200, 300)
		due, _ = leave(130 * second)
		So(due, ShouldEqual, 1000)
	})
	Convey("what can't leave does not begin if it may outlast the window", test, func() {
		board := &notice.Board{}
		board.Put(100*second, []notice.Notice{told(3, notice.Told)})
		So(board.Shut(101*second, 130*second, false, "note")["north"], ShouldBeFalse)
		So(board.Shut(101*second, 130*second+1, false, "note")["north"], ShouldBeTrue)
		So(board.Shut(101*second, 130*second+1, true, "flag")["north"], ShouldBeFalse)
	})
}
