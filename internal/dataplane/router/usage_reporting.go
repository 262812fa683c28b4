package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

const (
	// usageReportTimeout is the timeout of a usage report.
	usageReportTimeout = 400 * clock.Millisecond
	// learnedServerTimeout is how long the router keeps a server after another server last named it.
	learnedServerTimeout = 30 * clock.Second
	// maxLearnedServers is the maximum number of servers that the router knows from other servers.
	maxLearnedServers = 16
	// usageWakeThreshold is the pause above which a change of the meter wakes the reporting loop. With a
	// shorter pause, the change is included in the report that is due anyway.
	usageWakeThreshold = 300 * clock.Millisecond
)

// usageReporter reports the counts of a usage meter to control-plane servers.
type usageReporter struct {
	router     *Router
	meter      *usage.Meter
	reporterID usage.ReporterID
	// wake makes the loop check again which reports are due.
	wake chan struct{}
	// Reports counts the reports that were sent. Failures counts the reports that were not answered.
	Reports  atomic.Int64
	Failures atomic.Int64

	// lock guards delivery and learned.
	lock     sync.Mutex
	delivery *usage.Delivery
	// learned has the servers that other servers have named, by address.
	learned map[string]learnedServer
}

// learnedServer is a control-plane server that another server in the same zone has named.
type learnedServer struct {
	zone      string
	learnedAt clock.Microseconds
}

// EnableUsage makes the router report the usage of its data plane's requests in windows of true time, and returns
// the meter that must count the requests. It must be called at most once, and before Run.
func (r *Router) EnableUsage(windows usage.Windows) *usage.Meter {
	reporterID := usage.NewReporterID(r.Name, r.Incarnation)
	r.usage = &usageReporter{
		router:     r,
		meter:      usage.NewMeter(windows, r.trueTime.Now),
		reporterID: reporterID,
		wake:       make(chan struct{}, 1),
		delivery:   usage.NewDelivery(r.Zone, reporterID),
		learned:    map[string]learnedServer{},
	}
	return r.usage.meter
}

// run sends the reports when they are due, until the context ends.
func (u *usageReporter) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		pause := u.sendDue(ctx)
		timer.Reset(pause.Duration())
		changed := u.meter.Changed()
		if pause <= usageWakeThreshold {
			changed = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		case <-changed:
		case <-timer.C:
		}
	}
}

// meterState returns the state of the meter that determines which reports are due.
func (u *usageReporter) meterState() usage.MeterState {
	return usage.MeterState{Version: u.meter.Version(), Empty: u.meter.IsEmpty()}
}

// sendDue starts to send the reports that are due, and returns the time until the next reports are due.
func (u *usageReporter) sendDue(ctx context.Context) clock.Microseconds {
	state := u.meterState()
	if state.Empty {
		return clock.Never
	}
	now := u.router.clock.Now()
	u.lock.Lock()
	u.delivery.SetLedgers(u.servers(now))
	shipments, next := u.delivery.Due(now, state)
	u.lock.Unlock()
	for _, shipment := range shipments {
		go func() {
			u.send(ctx, shipment)
			u.wakeUp()
		}()
	}
	return max(next-now, 0)
}

// wakeUp makes the loop check again which reports are due.
func (u *usageReporter) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// servers returns the known control-plane servers: the members of all shards and the servers that other servers
// have named, or the seeds if there are none of these. The caller holds the lock.
func (u *usageReporter) servers(now clock.Microseconds) []usage.LedgerAddress {
	zones := map[string]string{}
	for address, learned := range u.learned {
		if now-learned.learnedAt > learnedServerTimeout {
			delete(u.learned, address)
			continue
		}
		zones[address] = learned.zone
	}
	for shard := range u.router.memberships {
		membership := u.router.memberships[shard].Load()
		if membership == nil {
			continue
		}
		for _, member := range membership.Members {
			if !member.Vacant() && zones[member.Address] == "" {
				zones[member.Address] = member.Zone
			}
		}
	}
	if len(zones) == 0 {
		for _, seed := range u.router.gossip.Seeds() {
			zones[seed] = ""
		}
	}
	servers := make([]usage.LedgerAddress, 0, len(zones))
	for address, zone := range zones {
		servers = append(servers, usage.LedgerAddress{Address: address, Zone: zone})
	}
	return servers
}

// send sends one report and records its result: a failure, or the server's wall clock and the servers that it names.
func (u *usageReporter) send(ctx context.Context, shipment usage.Shipment) {
	changes, version := u.meter.ChangesSince(shipment.Since)
	report := &usage.Report{Reporter: u.reporterID, Windows: changes}
	target := transport.Target{
		Address:   shipment.Address,
		Procedure: controlapi.UsageReportPath,
		Timeout:   usageReportTimeout,
	}
	u.Reports.Add(1)
	sentAt := u.router.trueTime.Monotonic()
	response, err := transport.Call[usage.Report, controlapi.UsageReportResponse](ctx, u.router.internal, target, report)
	u.lock.Lock()
	defer u.lock.Unlock()
	now := u.router.clock.Now()
	if err != nil {
		u.Failures.Add(1)
		u.delivery.RecordFailure(shipment, now)
		return
	}
	u.router.trueTime.RecordAnswer(shipment.Address, sentAt, clock.Microseconds(response.WallClock))
	u.delivery.RecordAnswer(shipment, response.Incarnation, version)
	for _, address := range response.Servers {
		if transport.CheckAddress(address) == nil && len(u.learned) < maxLearnedServers {
			u.learned[address] = learnedServer{zone: response.Zone, learnedAt: now}
		}
	}
}

// sendRemaining sends the changes that have not been reported yet, and waits until the reports are answered or have
// timed out.
func (u *usageReporter) sendRemaining(ctx context.Context) {
	u.lock.Lock()
	shipments := u.delivery.FinalShipments(u.router.clock.Now(), u.meterState())
	u.lock.Unlock()
	var group sync.WaitGroup
	for _, shipment := range shipments {
		group.Go(func() { u.send(ctx, shipment) })
	}
	group.Wait()
}

// addCounters adds the counters of usage reporting by their exported names.
func (u *usageReporter) addCounters(counters map[string]int64) {
	counters["usage-reports"] = u.Reports.Load()
	counters["usage-report-failures"] = u.Failures.Load()
	counters["usage-runs-dropped"] = u.meter.Dropped.Load()
}
