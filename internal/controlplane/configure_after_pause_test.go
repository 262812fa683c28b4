package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

func TestConfigure_RejectsEvacuationAfterPause(t *testing.T) {
	Convey("an evacuation and its reversal are rejected", t, func() {
		server := newIdleServer(t)
		server.pauseDetector.RecordTick(1)
		server.pauseDetector.RecordResume(server.clock.Now() + 1)
		for _, kind := range []config.OperationKind{config.OperationEvacuate, config.OperationReturn} {
			_, err := server.Configure(context.Background(), config.Request{Kind: kind, AnyRevision: true, Zone: "sur"})
			So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NoQuorum)
			So(errcode.Text(err), ShouldContainSubstring, "stood still")
		}
	})
}
