package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
)

// A server accepts calls before its replicas have started. An operation that arrives in this time must fail with
// NotLeader, which tells the client that nothing was proposed.
func TestExecute_BeforeShardsStart(t *testing.T) {
	Convey("operations and reads fail with NotLeader", t, func() {
		server := newIdleServer(t)
		request := routesRequest(5, 0, 1)
		_, err := server.execute(context.Background(), &ControlRequest{Configure: &request})
		So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
		_, err = server.execute(context.Background(), &ControlRequest{Read: true})
		So(errcode.CodeOf(err, errcode.OutcomeUnknown), ShouldEqual, errcode.NotLeader)
	})
}
