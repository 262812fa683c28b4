package schedule_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
)

func TestClocksOfASourceFollowIt(test *testing.T) {
	Convey("a clock shows what its source counts, suspends included", test, func() {
		now := 70 * schedule.Second
		clock := schedule.NewClockOf(func() schedule.Microseconds { return now })
		So(clock.Now(), ShouldEqual, schedule.Second)
		now += 5 * schedule.Second
		So(clock.Now(), ShouldEqual, 6*schedule.Second)
	})
	Convey("the machine's own starts above zero and does not fall", test, func() {
		clock := schedule.NewSuspendClock()
		first := clock.Now()
		So(first, ShouldBeGreaterThanOrEqualTo, schedule.Second)
		So(clock.Now(), ShouldBeGreaterThanOrEqualTo, first)
	})
}
