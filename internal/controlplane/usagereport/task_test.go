package usagereport_test

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/singleton"
	"coursepass/internal/controlplane/usageledger"
	"coursepass/internal/controlplane/usagereport"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

const (
	windowLength = 5 * clock.Second
	reportDelay  = 10 * clock.Second
	serverCount  = 3
	// draftInterval is the interval at which a leader calls Draft.
	draftInterval = 200 * time.Millisecond
)

var windows = usage.Windows{Length: windowLength}

// testServer is a server that has a usage ledger and may lead.
type testServer struct {
	address  string
	internal *transport.Internal
	trueTime *timesync.Clock
	ledger   *usageledger.Service
	task     *usagereport.Task
}

// testFleet is a set of servers on an in-memory network, with a virtual clock and a single outbox.
type testFleet struct {
	*testing.T
	network *simulation.MemoryNetwork
	servers []*testServer
	outbox  *outbox.State
	// draftedAt holds the time from the end of each window until its report was drafted. reports holds the counts of
	// the report of each window.
	draftedAt map[uint64]clock.Microseconds
	reports   map[uint64]map[string]uint64
}

func hostName(number int) string { return fmt.Sprint("server-", number) }

func serverAddress(number int) string { return fmt.Sprintf("10.0.%d.1:7300", number) }

// runFleet runs an action with a fleet whose servers serve until the action ends.
func runFleet(t *testing.T, action func(*testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{
			T:         t,
			network:   simulation.NewMemoryNetwork(clock.Millisecond),
			outbox:    outbox.NewState(),
			draftedAt: map[uint64]clock.Microseconds{},
			reports:   map[uint64]map[string]uint64{},
		}
		// The virtual clock starts at the boundary of two windows. Move it into a window.
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for number := range serverCount {
			fleet.startServer(ctx, number, &group)
		}
		action(fleet)
		cancel()
		for number := range serverCount {
			fleet.network.Kill(hostName(number))
		}
		group.Wait()
		time.Sleep(time.Minute)
	})
}

func (f *testFleet) startServer(ctx context.Context, number int, group *sync.WaitGroup) {
	host := simulation.Host{MemoryNetwork: f.network, Name: hostName(number)}
	server := &testServer{
		address:  serverAddress(number),
		internal: transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), host),
		trueTime: timesync.NewClock(serverAddress(number), transport.NewClock(host), transport.NewWallClock(host)),
	}
	server.ledger = usageledger.NewService(usageledger.Options{
		Transport:   server.internal,
		TrueTime:    server.trueTime,
		Incarnation: 1,
		Zone:        "norte",
		Windows:     windows,
		ZoneServers: func() []string { return []string{server.address} },
	})
	server.task = usagereport.NewTask(usagereport.Options{
		Server:    host.Name,
		Address:   server.address,
		Transport: server.internal,
		TrueTime:  server.trueTime,
		Ledger:    server.ledger,
		Windows:   windows,
		Delay:     reportDelay,
		Servers:   func() []string { return f.addresses() },
		Encode: func(report platformport.UsageReport) []byte {
			encoded, _ := json.Marshal(report) // Encoding numbers and strings can't fail.
			return encoded
		},
	})
	f.servers = append(f.servers, server)
	listener, err := host.Listen(server.address)
	if err != nil {
		f.Fatal(err)
	}
	// Serve returns when the context ends.
	group.Go(func() { _ = transport.Serve(ctx, listener, server.internal, clock.Millisecond) })
}

func (f *testFleet) addresses() []string {
	var addresses []string
	for number := range serverCount {
		addresses = append(addresses, serverAddress(number))
	}
	return addresses
}

// synchronize gives a server the readings of three correct clocks, which make its estimate of the true time reliable.
func (f *testFleet) synchronize(number int) {
	trueTime := f.servers[number].trueTime
	for machine := range 3 {
		now := trueTime.Monotonic()
		trueTime.RecordAnswer(fmt.Sprintf("10.9.9.%d:1", machine), now, clock.Microseconds(time.Now().UnixMicro()))
	}
}

// now returns the true time.
func (f *testFleet) now() clock.Microseconds { return clock.Microseconds(time.Now().UnixMicro()) }

func (f *testFleet) currentWindow() uint64 { return windows.At(f.now()) }

// sleepUntil sleeps until the given duration after the end of a window.
func (f *testFleet) sleepUntil(window uint64, after clock.Microseconds) {
	time.Sleep((windows.End(window) + after - f.now()).Duration())
}

// report sends a router's complete counts of a window to a server.
func (f *testFleet) report(number int, reporter usage.ReporterID, window uint64, counts usage.Counts) {
	f.Helper()
	report := &usage.Report{Reporter: reporter, Windows: map[uint64]usage.Counts{window: counts}}
	host := simulation.Host{MemoryNetwork: f.network, Name: "router"}
	client := transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), host)
	target := transport.Target{
		Address:   serverAddress(number),
		Procedure: controlapi.UsageReportPath,
		Timeout:   clock.Second,
	}
	_, err := transport.Call[usage.Report, controlapi.UsageReportResponse](f.Context(), client, target, report)
	if err != nil {
		f.Error(err)
	}
}

// leadUntil makes a server lead until the given duration after the end of a window, and commits its drafts.
func (f *testFleet) leadUntil(number int, window uint64, after clock.Microseconds) {
	f.Helper()
	server := f.servers[number]
	for end := windows.End(window) + after; f.now() < end; time.Sleep(draftInterval) {
		drafts := server.task.Draft(f.Context(), server.trueTime.Monotonic(), f.outbox.View)
		if len(drafts) == 0 {
			continue
		}
		f.outbox.Apply(outbox.Operation{Drafts: drafts})
		for _, draft := range drafts {
			f.recordDraft(draft)
		}
	}
}

// recordDraft records a drafted report. It fails the test if the report does not match its entry, or if the window was
// drafted before.
func (f *testFleet) recordDraft(draft outbox.Entry) {
	f.Helper()
	var report platformport.UsageReport
	if err := json.Unmarshal(draft.Payload, &report); err != nil || report.Window != draft.Number {
		f.Errorf("draft of window %d has payload %s, decoding error %v", draft.Number, draft.Payload, err)
	}
	if _, repeated := f.reports[draft.Number]; repeated {
		f.Errorf("window %d was drafted again after it was committed", draft.Number)
	}
	f.reports[draft.Number] = report.Counts
	f.draftedAt[draft.Number] = f.now() - windows.End(draft.Number)
}

// requireReport checks the counts of the report of a window, and that the report was drafted between the two durations
// after the end of the window.
func (f *testFleet) requireReport(window uint64, want usage.Counts, least, most clock.Microseconds) {
	f.Helper()
	if got := f.reports[window]; !reflect.DeepEqual(usage.Counts(got), want) {
		f.Errorf("window %d was reported with counts %v, want %v", window, got, want)
	}
	if at := f.draftedAt[window]; at < least || at > most {
		f.Errorf("window %d was drafted %v after its end, outside the expected range", window, at.Duration())
	}
}

// requireCounter checks a counter of the first server.
func (f *testFleet) requireCounter(name string, want int64) {
	f.Helper()
	counters := map[string]int64{}
	f.servers[0].task.AddCounters(counters)
	if counters[name] != want {
		f.Errorf("counter %s is %d, want %d", name, counters[name], want)
	}
}

// The times after the end of a window at which it is collected and servers are given up, derived from reportDelay, and
// the accepted deviation.
const (
	collectAt = 3 * clock.Second
	giveUpAt  = 5 * clock.Second
	tolerance = clock.Second / 2
)

func TestTask_ReportsEachWindowInOrder(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		fleet.synchronize(0)
		first := fleet.currentWindow()
		fleet.report(0, 1, first, usage.Counts{"a": 2})
		fleet.report(1, 1, first, usage.Counts{"a": 3})
		fleet.report(1, 2, first, usage.Counts{"a": 1, "b": 1})
		fleet.report(2, 3, first+1, usage.Counts{"c": 4})
		fleet.leadUntil(0, first+2, giveUpAt)
		fleet.requireReport(first, usage.Counts{"a": 4, "b": 1}, collectAt, collectAt+tolerance)
		fleet.requireReport(first+1, usage.Counts{"c": 4}, collectAt, collectAt+tolerance)
		// A window without requests is reported too.
		fleet.requireReport(first+2, usage.Counts{}, collectAt, collectAt+tolerance)
		fleet.requireCounter("usage-reported", 3)
		fleet.requireCounter("usage-reported-late", 0)
		fleet.requireCounter("usage-reported-partial", 0)
	})
}

func TestTask_WaitsForServersThatDoNotAnswer(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		fleet.synchronize(0)
		first := fleet.currentWindow()
		fleet.report(1, 1, first, usage.Counts{"a": 2})
		fleet.report(2, 2, first+1, usage.Counts{"a": 5})
		fleet.network.Isolate(hostName(1), []string{hostName(0)})
		fleet.leadUntil(0, first, collectAt+clock.Second)
		// The server answers again before it is given up.
		fleet.network.Heal()
		fleet.leadUntil(0, first, giveUpAt)
		fleet.requireReport(first, usage.Counts{"a": 2}, collectAt+clock.Second, giveUpAt)
		fleet.requireCounter("usage-reported-partial", 0)
		// Another server does not answer: the report is sent without its counts.
		fleet.network.Isolate(hostName(2), []string{hostName(0)})
		fleet.leadUntil(0, first+1, reportDelay)
		fleet.requireReport(first+1, usage.Counts{}, giveUpAt-tolerance, giveUpAt+tolerance)
		fleet.requireCounter("usage-reported-partial", 1)
	})
}

// The leader is killed right before it would collect a window, and another server leads four seconds later. The new
// leader must report the window before it is due.
func TestTask_SuccessorReportsInTime(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		fleet.synchronize(0)
		fleet.synchronize(1)
		first := fleet.currentWindow()
		for window := first; window < first+3; window++ {
			fleet.report(0, 1, window, usage.Counts{"a": 2})
			fleet.report(2, 1, window, usage.Counts{"a": 2})
		}
		fleet.leadUntil(0, first+1, collectAt)
		if len(fleet.reports) != 1 {
			t.Errorf("got reports %v before the leader was killed, want one", fleet.reports)
		}
		fleet.network.Kill(hostName(0))
		fleet.sleepUntil(first+1, collectAt+4*clock.Second)
		fleet.leadUntil(1, first+2, reportDelay)
		fleet.requireReport(first, usage.Counts{"a": 2}, collectAt, collectAt+tolerance)
		fleet.requireReport(first+1, usage.Counts{"a": 2}, collectAt, reportDelay)
		fleet.requireReport(first+2, usage.Counts{"a": 2}, collectAt, giveUpAt+tolerance)
	})
}

// A leader collects a window and stops leading before the report is drafted. When it leads again, it must collect the
// window again, since the ledgers may have more usage by then.
func TestTask_CollectsAnewWhenItLeadsAgain(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		fleet.synchronize(0)
		first := fleet.currentWindow()
		fleet.leadUntil(0, first, giveUpAt)
		fleet.report(1, 1, first+1, usage.Counts{"a": 2})
		// The server starts to collect, and stops leading before it has drafted the report.
		fleet.leadUntil(0, first+1, collectAt-tolerance)
		fleet.sleepUntil(first+1, collectAt+tolerance)
		task, trueTime := fleet.servers[0].task, fleet.servers[0].trueTime
		task.Draft(fleet.Context(), trueTime.Monotonic(), fleet.outbox.View)
		time.Sleep(3 * time.Second)
		fleet.report(1, 1, first+1, usage.Counts{"a": 7})
		fleet.leadUntil(0, first+1, reportDelay)
		fleet.requireReport(first+1, usage.Counts{"a": 7}, collectAt, reportDelay)
	})
}

// While a server has read too few other clocks, its own clock may be wrong. It must then not collect a window before
// the time at which servers are given up.
func TestTask_WaitsWhileTimeIsUncertain(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		first := fleet.currentWindow()
		fleet.leadUntil(0, first, reportDelay)
		fleet.requireReport(first, usage.Counts{}, giveUpAt, giveUpAt+tolerance)
	})
}

func TestTask_GivesUpOldWindows(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		fleet.synchronize(0)
		first := fleet.currentWindow()
		fleet.leadUntil(0, first, giveUpAt)
		fleet.sleepUntil(first+20, collectAt+tolerance)
		fleet.leadUntil(0, first+22, giveUpAt)
		skipped := int64(0)
		for window := first; window <= first+22; window++ {
			if fleet.reports[window] == nil {
				skipped++
			}
		}
		if skipped != 8 || fleet.reports[first] == nil || fleet.reports[first+9] == nil {
			t.Errorf("%d of 23 windows were not reported, want 8, excluding the first and the tenth: %v", skipped, fleet.reports)
		}
		fleet.requireCounter("usage-skipped", skipped)
		fleet.requireCounter("usage-reported-late", 11)
	})
}

func TestTask_FloorIsTheLastWindowThatMayBeDrafted(t *testing.T) {
	runFleet(t, func(fleet *testFleet) {
		var task singleton.Task = fleet.servers[0].task
		floors := task.(singleton.Floors).Floors(0)
		want := []outbox.Mark{{
			Subject: outbox.Subject{Kind: platformport.SingletonUsage},
			Number:  fleet.currentWindow() - 1,
		}}
		if task.Kind() != platformport.SingletonUsage || !reflect.DeepEqual(floors, want) {
			t.Errorf("task of kind %q has floors %v, want kind %q and floors %v",
				task.Kind(), floors, platformport.SingletonUsage, want)
		}
	})
}
