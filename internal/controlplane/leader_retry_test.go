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

// routesRequest returns a request that replaces the routing. Its label, and the label of the routing that it builds on,
// are given. The attempt makes the operation key unique.
func routesRequest(label, previous uint64, attempt int) config.Request {
	routing := &config.Routing{
		Label:       label,
		ParentLabel: previous,
		Digest:      fmt.Sprint(label, previous),
		Services:    map[string]route.Service{"s": {Name: "s"}},
		Items:       map[string][]config.Item{"services": {{Name: "s", Text: `{"name":"s"}`}}},
	}
	return config.Request{
		Kind:    config.OperationReplaceRoutes,
		Key:     fmt.Sprint(label, "-", previous, "-", attempt),
		Routing: routing,
	}
}

// localFleet runs three servers on the loopback interface.
type localFleet struct {
	servers []*Server
	stops   []context.CancelFunc
	running sync.WaitGroup
}

func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return listener
}

func startLocalFleet(t *testing.T) *localFleet {
	t.Helper()
	var endpoints []transport.Listeners
	var seeds []string
	for range 3 {
		endpoint := transport.Listeners{Internal: listenLocally(t), Public: listenLocally(t)}
		endpoints = append(endpoints, endpoint)
		seeds = append(seeds, endpoint.Internal.Addr().String())
	}
	fleet := &localFleet{}
	for number, endpoint := range endpoints {
		server, err := New(Settings{
			Common: settings.Common{
				Name:   fmt.Sprint("core-", number),
				Zone:   "norte",
				Fleet:  "local",
				Public: endpoint.Public.Addr().String(),
				Seeds:  seeds,
			},
			Internal:      settings.Internal{InternalAddress: seeds[number], Shards: 2},
			Timing:        settings.Timing{DeltaMillis: 100, LeaseMillis: 1000},
			CompactionMiB: 16,
			DataDirectory: t.TempDir(),
		}, settings.NewIncarnation(), transport.SystemNetwork)
		So(err, ShouldBeNil)
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		fleet.servers = append(fleet.servers, server)
		fleet.stops = append(fleet.stops, stop)
		fleet.running.Go(func() { _ = server.Run(ctx, endpoint) }) // A failure shows in the responses.
	}
	return fleet
}

// commitFirst submits a configuration to the servers in turn until one commits it, for up to 30 seconds.
func (l *localFleet) commitFirst() config.Outcome {
	startedAt := l.servers[0].clock.Now()
	committed, attempt := config.Outcome{}, 0
	err := errcode.New(errcode.NotLeader, "not asked")
	for ; err != nil && l.servers[0].clock.Now()-startedAt < 30*clock.Second; attempt++ {
		committed, err = l.servers[attempt%3].Configure(context.Background(), routesRequest(5, 0, attempt))
	}
	return committed
}

// configureConcurrently submits eight requests that build on the same routing, and returns their sorted codes.
func (l *localFleet) configureConcurrently() []errcode.Code {
	codes := make([]errcode.Code, 8)
	var writers sync.WaitGroup
	for number := range codes {
		writers.Go(func() {
			request := routesRequest(uint64(6+number), 5, 1500+number)
			outcome, err := l.servers[number%3].Configure(context.Background(), request)
			codes[number] = outcome.Code
			if err != nil {
				codes[number] = errcode.CodeOf(err, errcode.OutcomeUnknown)
			}
		})
	}
	writers.Wait()
	slices.Sort(codes)
	return codes
}

// While there is a majority, each server must return the same outcome for an operation, whichever server leads. Of
// eight concurrent requests that build on the same routing, exactly one may succeed. Without a majority, the remaining
// server must return an error within a second, because clients then try another server.
func TestConfigure_AnswersAtEveryServerWithinTimeout(t *testing.T) {
	Convey("responses with a majority and without one", t, func() {
		fleet := startLocalFleet(t)
		committed := fleet.commitFirst()
		So(committed.Code, ShouldEqual, errcode.OK)
		So(committed.Revision, ShouldEqual, 1)
		for number, server := range fleet.servers {
			outcome, err := server.Configure(context.Background(), routesRequest(5, 0, 1000+number))
			So(err, ShouldBeNil)
			So(outcome, ShouldResemble, committed)
			outcome, err = server.Configure(context.Background(), routesRequest(9, 4, 1000+number))
			So(err, ShouldBeNil)
			So(outcome.Code, ShouldEqual, errcode.RevisionStale)
			view, err := server.Read(context.Background())
			So(err, ShouldBeNil)
			So(view.Label, ShouldEqual, 5)
			So(view.Items["services"], ShouldResemble, []config.Item{{Name: "s", Text: `{"name":"s"}`}})
		}
		for _, server := range fleet.servers {
			server.expansionSemaphore <- struct{}{}
		}
		codes := fleet.configureConcurrently()
		So(codes[0], ShouldEqual, errcode.OK)
		for _, code := range codes[1:] {
			So(code, ShouldEqual, errcode.RevisionStale)
		}
		fleet.stops[0]()
		fleet.stops[1]()
		remaining := fleet.servers[2]
		for call := range 4 {
			callStart := remaining.clock.Now()
			var err error
			if call%2 == 0 {
				_, err = remaining.Configure(context.Background(), routesRequest(9, 5, 2000+call))
			} else {
				_, err = remaining.Read(context.Background())
			}
			So(errcode.CodeOf(err, errcode.OK), ShouldBeIn, errcode.NotLeader, errcode.NoQuorum, errcode.OutcomeUnknown)
			So(remaining.clock.Now()-callStart, ShouldBeLessThan, clock.Second)
		}
		fleet.stops[2]()
		fleet.running.Wait()
	})
}
