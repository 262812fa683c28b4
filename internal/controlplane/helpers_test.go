package controlplane

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/settings"
	"coursepass/internal/transport"
)

// newIdleServer creates a server that is not run.
func newIdleServer(t *testing.T) *Server {
	t.Helper()
	server, err := New(Settings{
		Common: settings.Common{
			Name:   "core-0",
			Zone:   "norte",
			Fleet:  "idle",
			Public: "127.0.0.1:2",
			Seeds:  []string{"127.0.0.1:1"},
		},
		Internal:      settings.Internal{InternalAddress: "127.0.0.1:1", Shards: 2},
		Timing:        settings.Timing{DeltaMillis: 100, LeaseMillis: 1000},
		CompactionMiB: 16,
		DataDirectory: t.TempDir(),
	}, settings.NewIncarnation(), transport.SystemNetwork)
	So(err, ShouldBeNil)
	t.Cleanup(server.Discard)
	return server
}
