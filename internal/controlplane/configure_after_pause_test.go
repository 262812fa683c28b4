package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

func TestConfigure_RejectsEvacuationAfterPause(t *testing.T) {
	Convey("an evacuation and its reversal are rejected", t, func() {
		server, err := New(Settings{
			Common: settings.Common{
				Name:   "core-0",
				Zone:   "norte",
				Fleet:  "door",
				Public: "127.0.0.1:2",
				Seeds:  []string{"127.0.0.1:1"},
			},
			Internal:      settings.Internal{InternalAddress: "127.0.0.1:1", Shards: 2},
			Timing:        settings.Timing{DeltaMillis: 100, LeaseMillis: 1000},
			CompactionMiB: 16, DataDirectory: t.TempDir(),
		}, settings.NewIncarnation(), transport.SystemNetwork)
		So(err, ShouldBeNil)
		server.pauseDetector.RecordTick(1)
		server.pauseDetector.RecordResume(server.clock.Now() + 1)
		for _, kind := range []config.OperationKind{config.OperationEvacuate, config.OperationReturn} {
			_, err := server.Configure(context.Background(), config.Request{Kind: kind, Whichever: true, Hall: "sur"})
			So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NoQuorum)
			So(errcode.Text(err), ShouldContainSubstring, "stood still")
		}
	})
}
