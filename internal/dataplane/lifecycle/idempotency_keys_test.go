package lifecycle_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
)

func TestKeyTable_ReservesOnce(t *testing.T) {
	Convey("a key can be reserved again only after its release or expiry", t, func() {
		keys := lifecycle.NewKeyTable()
		conflict := func(now clock.Microseconds) bool {
			return keys.Reserve(now, "a").Result == lifecycle.KeyConflict
		}
		number := keys.Reserve(0, "a").Number
		So(conflict(1), ShouldBeTrue)
		keys.Complete("a", number+lifecycle.ShardCount, lifecycle.OutcomeNotRun)
		So(conflict(1), ShouldBeTrue)
		keys.Complete("a", number, lifecycle.OutcomeNotRun)
		So(conflict(2), ShouldBeFalse)
		So(conflict(500*clock.Second), ShouldBeTrue)
		So(conflict(700*clock.Second), ShouldBeFalse)
		So(conflict(701*clock.Second), ShouldBeTrue)
	})
}
