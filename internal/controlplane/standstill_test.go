package core

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

func TestStandstillIsNoticedBeforeAndAfterTheFirstNote(test *testing.T) {
	Convey("a process that notes each tick, stands still for eight seconds and runs again", test, func() {
		var still standstill
		begun := 5 * schedule.Second
		So(still.lately(begun), ShouldBeFalse)
		now := begun
		for range 20 {
			now += standstillTick
			still.note(now)
			So(still.lately(now+standstillTick), ShouldBeFalse)
		}
		So(still.lately(now+standstillSpan), ShouldBeFalse)

		now += 8 * schedule.Second
		So(still.lately(now), ShouldBeTrue)
		still.note(now)
		So(still.lately(now), ShouldBeTrue)
		for range standstillAfter/standstillTick - 1 {
			now += standstillTick
			still.note(now)
			So(still.lately(now), ShouldBeTrue)
		}
		now += standstillTick
		still.note(now)
		So(still.lately(now), ShouldBeFalse)
	})
}

func TestEvacuationsReadAfterAStandstillAreNotTaken(test *testing.T) {
	Convey("an evacuation, and what takes it back, get no statement", test, func() {
		core, err := New(Settings{
			Place: setting.Place{Name: "core-0", Hall: "norte", Fleet: "door", Public: "127.0.0.1:2", Seeds: []string{"127.0.0.1:1"}},
			Inner: setting.Inner{Inner: "127.0.0.1:1", Parts: 2}, Lengths: setting.Lengths{Delta: 100, Lease: 1000}, Rewrite: 16, Data: test.TempDir(),
		}, setting.Incarnation(), circuit.System)
		So(err, ShouldBeNil)
		core.standstill.noted.Store(1)
		core.standstill.resumed.Store(int64(core.clock.Now()) + 1)
		for _, kind := range []configuration.Kind{configuration.Evacuate, configuration.Return} {
			_, err := core.Configure(context.Background(), configuration.Request{Kind: kind, Whichever: true, Hall: "sur"})
			So(mishap.CodeOf(err, mishap.Fine), ShouldEqual, mishap.NoMajority)
			So(mishap.Text(err), ShouldContainSubstring, "stood still")
		}
	})
}
