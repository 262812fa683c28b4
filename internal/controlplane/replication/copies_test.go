package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// Guards against copies that stay incomplete unseen, and against a log line for each short restart.
func TestCopyTracker_WarnsOfLastingGaps(t *testing.T) {
	Convey("a copy that stays incomplete is logged again and again", t, func() {
		tracker := &copyTracker{}
		complete := []consensus.Copy{{}, {}, {}}
		incomplete := []consensus.Copy{{}, {State: consensus.CopySilent}, {}}
		now := clock.Second
		step := func(duration clock.Microseconds, copies []consensus.Copy) bool {
			now += duration
			tracker.update(now, copies)
			return tracker.warningDue(now)
		}
		So(step(0, complete), ShouldBeFalse)
		So(step(clock.Second, incomplete), ShouldBeFalse)
		So(step(copyWarningDelay-1, incomplete), ShouldBeFalse)
		So(step(1, incomplete), ShouldBeTrue)
		So(tracker.states[1].since, ShouldEqual, now-copyWarningDelay)
		So(step(1, incomplete), ShouldBeFalse)
		So(step(copyWarningDelay, incomplete), ShouldBeTrue)
		So(step(1, complete), ShouldBeFalse)
		So(step(copyWarningDelay, incomplete), ShouldBeFalse)
		So(step(1, nil), ShouldBeFalse)
		So(step(copyWarningDelay, incomplete), ShouldBeFalse)
	})
}
