package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/transport"
)

// A server listens before its replicas have started: an operation that comes then is not proposed.
func TestExecute_BeforeShardsStart(t *testing.T) {
	Convey("it ends as not proposed", t, func() {
		server, err := New(Settings{
			Common: settings.Common{
				Name:   "core-0",
				Zone:   "norte",
				Fleet:  "early",
				Public: "127.0.0.1:1",
				Seeds:  []string{"127.0.0.1:2"},
			},
			Internal:      settings.Internal{InternalAddress: "127.0.0.1:2", Shards: 2},
			Timing:        settings.Timing{DeltaMillis: 100, LeaseMillis: 1000},
			CompactionMiB: 16,
			DataDirectory: t.TempDir(),
		}, settings.NewIncarnation(), transport.SystemNetwork)
		So(err, ShouldBeNil)
		request := routesRequest(5, 0, 1)
		_, err = server.execute(context.Background(), &ControlRequest{Configure: &request})
		So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
		_, err = server.execute(context.Background(), &ControlRequest{Read: true})
		So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
	})
}
