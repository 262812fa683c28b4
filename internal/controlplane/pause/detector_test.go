package pause

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
)

// A request may be executed after a pause and before the first tick. The detector must report the pause in that time
// too, and for StaleRequestPeriod after the first tick.
func TestDetector_DetectsPauseBeforeAndAfterFirstTick(t *testing.T) {
	Convey("a process records ticks, is paused for eight seconds and resumes", t, func() {
		var detector Detector
		startedAt := 5 * clock.Second
		So(detector.RecentlyPaused(startedAt), ShouldBeFalse)
		now := startedAt
		for range 20 {
			now += CheckInterval
			detector.RecordTick(now)
			So(detector.RecentlyPaused(now+CheckInterval), ShouldBeFalse)
		}
		So(detector.RecentlyPaused(now+Threshold), ShouldBeFalse)

		now += 8 * clock.Second
		So(detector.RecentlyPaused(now), ShouldBeTrue)
		detector.RecordTick(now)
		So(detector.RecentlyPaused(now), ShouldBeTrue)
		for range StaleRequestPeriod/CheckInterval - 1 {
			now += CheckInterval
			detector.RecordTick(now)
			So(detector.RecentlyPaused(now), ShouldBeTrue)
		}
		now += CheckInterval
		detector.RecordTick(now)
		So(detector.RecentlyPaused(now), ShouldBeFalse)
	})
}
