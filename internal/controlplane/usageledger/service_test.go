package usageledger_test

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"

	"go.uber.org/goleak"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/usageledger"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

// TestMain fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var windows = usage.Windows{Length: 5 * clock.Second}

// runningService is a service that listens on the loopback interface, with a client for it.
type runningService struct {
	*usageledger.Service
	trueTime *timesync.Clock
	client   *transport.Internal
	address  string
	stop     func()
}

func startService(tb testing.TB) *runningService {
	tb.Helper()
	listener, err := transport.SystemNetwork.Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	address := listener.Addr().String()
	trueTime := timesync.NewClock(address, clock.New(), transport.NewWallClock(transport.SystemNetwork))
	internal := transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), transport.SystemNetwork)
	started := &runningService{
		trueTime: trueTime,
		client:   transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), transport.SystemNetwork),
		address:  address,
	}
	started.Service = usageledger.NewService(usageledger.Options{
		Transport:   internal,
		TrueTime:    trueTime,
		Incarnation: 7,
		Zone:        "norte",
		Windows:     windows,
		ZoneServers: func() []string { return []string{address, "10.0.0.2:7300"} },
	})
	started.stop = started.serve(listener, internal)
	return started
}

// serve starts to serve the service's calls, and returns a function that stops it.
func (r *runningService) serve(listener net.Listener, internal *transport.Internal) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(ctx, listener, internal, clock.Millisecond) // returns when the context ends
	}()
	return func() {
		cancel()
		<-done
	}
}

func call[Request, Response any](tb testing.TB, service *runningService, path string, request *Request) *Response {
	tb.Helper()
	target := transport.Target{Address: service.address, Procedure: path, Timeout: clock.Second}
	response, err := transport.Call[Request, Response](tb.Context(), service.client, target, request)
	if err != nil {
		tb.Fatal(err)
	}
	return response
}

func TestService_KeepsReports(t *testing.T) {
	service := startService(t)
	defer service.stop()
	window := windows.At(service.trueTime.Now())
	report := &usage.Report{Reporter: 3, Windows: map[uint64]usage.Counts{window: {"a": 2}, 5: {"a": 9}}}
	response := call[usage.Report, controlapi.UsageReportResponse](t, service, controlapi.UsageReportPath, report)
	if response.Incarnation != 7 || response.Zone != "norte" || len(response.Servers) != 2 || response.WallClock == 0 {
		t.Errorf("unexpected response %+v to the report", response)
	}
	digests := call[controlapi.UsageDigestsRequest, controlapi.UsageDigestsResponse](
		t, service, controlapi.UsageDigestsPath, &controlapi.UsageDigestsRequest{Window: window})
	if len(digests.Digests) != 1 || digests.Digests[0].Reporter != 3 {
		t.Errorf("got digests %+v, want one of reporter 3", digests)
	}
	request := &controlapi.UsageCountsRequest{Window: window, Groups: [][]usage.ReporterID{{3}, {4}}}
	counts := call[controlapi.UsageCountsRequest, controlapi.UsageCountsResponse](
		t, service, controlapi.UsageCountsPath, request)
	if want := []usage.Counts{{"a": 2}, {}}; !reflect.DeepEqual(counts.Sums, want) {
		t.Errorf("got sums %v, want %v", counts.Sums, want)
	}
	report.Windows = map[uint64]usage.Counts{window: {"a": 5}}
	call[usage.Report, controlapi.UsageReportResponse](t, service, controlapi.UsageReportPath, report)
	if service.Late.Load() != 3 || service.Dropped.Load() != 1 {
		t.Errorf("got %d late and %d dropped counts, want 3 and 1", service.Late.Load(), service.Dropped.Load())
	}
}

// BenchmarkReport sends reports with as many requests as a router serves in a report interval at the target size of a
// fleet. Client and server run in the same process, so both are measured together. The metric bytes/call includes the
// HTTP headers.
func BenchmarkReport(b *testing.B) {
	for _, tenants := range []int{0, 1, 3, 17} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			service := startService(b)
			defer service.stop()
			meter := service.client.Meter
			meter.SetZone(service.address, "norte")
			window := windows.At(service.trueTime.Now())
			counts := usage.Counts{}
			for number := range tenants {
				counts[fmt.Sprintf("nowu%03d", 600+number)] = 1
			}
			report := &usage.Report{Reporter: usage.NewReporterID("edge-1-router", 1), Windows: map[uint64]usage.Counts{window: counts}}
			call[usage.Report, controlapi.UsageReportResponse](b, service, controlapi.UsageReportPath, report)
			before := meter.Resources.Bytes(resources.Client, resources.SameZone)
			calls := 0
			for b.Loop() {
				call[usage.Report, controlapi.UsageReportResponse](b, service, controlapi.UsageReportPath, report)
				calls++
			}
			b.ReportMetric(float64(meter.Resources.Bytes(resources.Client, resources.SameZone)-before)/float64(calls), "bytes/call")
		})
	}
}
