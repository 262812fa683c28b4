package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// After a suspension, a server may read an evacuation, or its reversal, from a socket in which the request waited
// during the suspension. The request may be out of date, so the server must reject both kinds for a while.
func TestConfigure_RejectsEvacuationAfterPause(t *testing.T) {
	Convey("an evacuation and its reversal are rejected after a suspension", t, func() {
		server := newIdleServer(t)
		server.pauseDetector.RecordTick(1)
		server.pauseDetector.RecordResume(server.clock.Now() + 1)
		for _, kind := range []config.OperationKind{config.OperationEvacuate, config.OperationReturn} {
			_, err := server.Configure(context.Background(), config.Request{Kind: kind, AnyRevision: true, Zone: "sur"})
			So(errcode.CodeOf(err, errcode.OK), ShouldEqual, errcode.NoQuorum)
			So(errcode.Text(err), ShouldContainSubstring, "was suspended")
		}
	})
}
