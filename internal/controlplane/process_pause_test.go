package controlplane

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

func TestPauseDetector_DetectsPauseBeforeAndAfterFirstTick(t *testing.T) {
	Convey("a process that notes each tick, stands still for eight seconds and runs again", t, func() {
		var detector pauseDetector
		startedAt := 5 * clock.Second
		So(detector.recentlyPaused(startedAt), ShouldBeFalse)
		now := startedAt
		for range 20 {
			now += pauseCheckInterval
			detector.recordTick(now)
			So(detector.recentlyPaused(now+pauseCheckInterval), ShouldBeFalse)
		}
		So(detector.recentlyPaused(now+pauseThreshold), ShouldBeFalse)

		now += 8 * clock.Second
		So(detector.recentlyPaused(now), ShouldBeTrue)
		detector.recordTick(now)
		So(detector.recentlyPaused(now), ShouldBeTrue)
		for range distrustAfterPause/pauseCheckInterval - 1 {
			now += pauseCheckInterval
			detector.recordTick(now)
			So(detector.recentlyPaused(now), ShouldBeTrue)
		}
		now += pauseCheckInterval
		detector.recordTick(now)
		So(detector.recentlyPaused(now), ShouldBeFalse)
	})
}

func TestConfigure_RejectsEvacuationAfterPause(t *testing.T) {
	Convey("an evacuation, and what takes it back, get no statement", t, func() {
		server, err := New(Settings{
			Common:   settings.Common{Name: "core-0", Zone: "norte", Fleet: "door", Public: "127.0.0.1:2", Seeds: []string{"127.0.0.1:1"}},
			Internal: settings.Internal{InternalAddress: "127.0.0.1:1", Shards: 2}, Timing: settings.Timing{DeltaMillis: 100, LeaseMillis: 1000}, CompactionMiB: 16, DataDirectory: t.TempDir(),
		}, settings.NewIncarnation(), transport.SystemNetwork)
		So(err, ShouldBeNil)
		server.pauseDetector.lastTick.Store(1)
		server.pauseDetector.resumedAt.Store(int64(server.clock.Now()) + 1)
		for _, kind := range []config.OperationKind{config.OperationEvacuate, config.OperationReturn} {
			_, err := server.Configure(context.Background(), config.Request{Kind: kind, Whichever: true, Hall: "sur"})
			So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NoQuorum)
			So(errcode.Text(err), ShouldContainSubstring, "stood still")
		}
	})
}
