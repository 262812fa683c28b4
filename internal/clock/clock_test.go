package clock_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
)

func TestClock_FollowsItsSource(t *testing.T) {
	Convey("a clock shows what its source counts, suspends included", t, func() {
		now := 70 * clock.Second
		sourceClock := clock.NewFromSource(func() clock.Microseconds { return now })
		So(sourceClock.Now(), ShouldEqual, clock.Second)
		now += 5 * clock.Second
		So(sourceClock.Now(), ShouldEqual, 6*clock.Second)
	})
	Convey("the suspend-aware clock starts at one second or above and does not decrease", t, func() {
		sourceClock := clock.NewSuspendAware()
		first := sourceClock.Now()
		So(first, ShouldBeGreaterThanOrEqualTo, clock.Second)
		So(sourceClock.Now(), ShouldBeGreaterThanOrEqualTo, first)
	})
}
