package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
)

// A server listens before its replicas have started: an operation that comes then is not proposed.
func TestExecute_BeforeShardsStart(t *testing.T) {
	Convey("it ends as not proposed", t, func() {
		server := newIdleServer(t)
		request := routesRequest(5, 0, 1)
		_, err := server.execute(context.Background(), &ControlRequest{Configure: &request})
		So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
		_, err = server.execute(context.Background(), &ControlRequest{Read: true})
		So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
	})
}
