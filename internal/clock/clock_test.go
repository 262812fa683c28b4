package clock_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
)

func TestClock_FollowsItsSource(t *testing.T) {
	Convey("a clock advances with its source, including time in suspend", t, func() {
		now := 70 * clock.Second
		sourceClock := clock.NewFromSource(func() clock.Microseconds { return now })
		So(sourceClock.Now(), ShouldEqual, clock.Second)
		now += 5 * clock.Second
		So(sourceClock.Now(), ShouldEqual, 6*clock.Second)
	})
	Convey("the suspend-aware clock starts at one second or later and never decreases", t, func() {
		suspendAwareClock := clock.NewSuspendAware()
		first := suspendAwareClock.Now()
		So(first, ShouldBeGreaterThanOrEqualTo, clock.Second)
		So(suspendAwareClock.Now(), ShouldBeGreaterThanOrEqualTo, first)
	})
}
