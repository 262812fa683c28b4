package controlplane

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
	"coursepass/internal/transport"
)

func routesRequest(label, previous uint64, attempt int) config.Request {
	return config.Request{Kind: config.OperationReplaceRoutes, Key: fmt.Sprint(label, "-", previous, "-", attempt), Routing: &config.Routing{
		Label: label, On: previous, Digest: fmt.Sprint(label, previous), Services: map[string]route.Service{"s": {Name: "s"}},
		Items: map[string][]config.Item{"services": {{Name: "s", Text: `{"name":"s"}`}}},
	}}
}

// Three cores on this machine's own network: the door answers alike at each of them while
// a majority is there, and in time when none is.
func TestConfigure_AnswersAtEveryServerWithinTimeout(t *testing.T) {
	Convey("with a majority and without", t, func() {
		var listeners []Listeners
		var seeds []string
		for range 3 {
			internal, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			public, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listeners, seeds = append(listeners, Listeners{internal, public}), append(seeds, internal.Addr().String())
		}
		var servers []*Server
		var stops []context.CancelFunc
		var group sync.WaitGroup
		for number, endpoint := range listeners {
			server, err := New(Settings{
				Common:   settings.Common{Name: fmt.Sprint("core-", number), Zone: "norte", Fleet: "door", Public: endpoint.Public.Addr().String(), Seeds: seeds},
				Internal: settings.Internal{InternalAddress: seeds[number], Shards: 2}, Timing: settings.Timing{DeltaMillis: 100, LeaseMillis: 1000}, CompactionMiB: 16, DataDirectory: t.TempDir(),
			}, settings.NewIncarnation(), transport.SystemNetwork)
			So(err, ShouldBeNil)
			ctx, stop := context.WithCancel(context.Background())
			servers, stops = append(servers, server), append(stops, stop)
			defer stop()
			group.Go(func() { server.Run(ctx, endpoint) })
		}
		startedAt := servers[0].clock.Now()
		committed, attempt := config.Outcome{}, 0
		for err := error(errcode.New(errcode.NotLeader, "not asked")); err != nil && servers[0].clock.Now()-startedAt < 30*clock.Second; attempt++ {
			committed, err = servers[attempt%3].Configure(context.Background(), routesRequest(5, 0, attempt))
		}
		So(committed.Code, ShouldEqual, errcode.OK)
		So(committed.Sequence, ShouldEqual, 1)
		for number, endpoint := range servers {
			outcome, err := endpoint.Configure(context.Background(), routesRequest(5, 0, 1000+number))
			So(err, ShouldBeNil)
			So(outcome, ShouldResemble, committed)
			outcome, err = endpoint.Configure(context.Background(), routesRequest(9, 4, 1000+number))
			So(err, ShouldBeNil)
			So(outcome.Code, ShouldEqual, errcode.RevisionStale)
			view, err := endpoint.Read(context.Background())
			So(err, ShouldBeNil)
			So(view.Label, ShouldEqual, 5)
			So(view.Items["services"], ShouldResemble, []config.Item{{Name: "s", Text: `{"name":"s"}`}})
		}
		for _, endpoint := range servers {
			endpoint.expansionSemaphore <- struct{}{}
		}
		codes := make([]errcode.Code, 8)
		var writers sync.WaitGroup
		for number := range codes {
			writers.Go(func() {
				outcome, err := servers[number%3].Configure(context.Background(), routesRequest(uint64(6+number), 5, 1500+number))
				if codes[number] = outcome.Code; err != nil {
					codes[number] = errcode.CodeOf(err, errcode.OutcomeUnknown)
				}
			})
		}
		writers.Wait()
		slices.Sort(codes)
		So(codes[0], ShouldEqual, errcode.OK)
		for _, code := range codes[1:] {
			So(code, ShouldEqual, errcode.RevisionStale)
		}
		stops[0]()
		stops[1]()
		for call := range 4 {
			callStart := servers[2].clock.Now()
			var err error
			if call%2 == 0 {
				_, err = servers[2].Configure(context.Background(), routesRequest(9, 5, 2000+call))
			} else {
				_, err = servers[2].Read(context.Background())
			}
			So(errcode.CodeOf(err, errcode.OK), ShouldBeIn, errcode.NotLeader, errcode.NoQuorum, errcode.OutcomeUnknown)
			So(servers[2].clock.Now()-callStart, ShouldBeLessThan, clock.Second)
		}
		stops[2]()
		group.Wait()
	})
}
