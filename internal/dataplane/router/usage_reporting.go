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
	// usageReportTimeout is how long a report may take.
	usageReportTimeout = 400 * clock.Millisecond
	// learnedServerTimeout is how long a server is known that others have named.
	learnedServerTimeout = 30 * clock.Second
	// maxLearnedServers bounds the servers that others have named.
	maxLearnedServers = 16
	// usageWakeThreshold is how far away the next report must be for a change to bring it forward. A change
	// that comes with a report already planned wakes nobody.
	usageWakeThreshold = 300 * clock.Millisecond
)

// usageReporter reports what a meter counts to control-plane servers.
type usageReporter struct {
	router   *Router
	meter    *usage.Meter
	reporter usage.ReporterID
	// wake has the loop look for what is due once more.
	wake chan struct{}
	// Reports counts the reports that were sent, Failures those without an answer.
	Reports  atomic.Int64
	Failures atomic.Int64

	// lock guards what follows.
	lock     sync.Mutex
	delivery *usage.Delivery
	// learned are servers that others have named, by address.
	learned map[string]learnedServer
}

// learnedServer is a server that another one in its zone has named.
type learnedServer struct {
	zone      string
	learnedAt clock.Microseconds
}

// EnableUsage has the router report the requests of its data plane in windows of true time, and returns the meter
// that counts them. It must be called once at most, before Run.
func (r *Router) EnableUsage(windows usage.Windows) *usage.Meter {
	reporter := usage.NewReporterID(r.Name, r.Incarnation)
	r.usage = &usageReporter{
		router:   r,
		meter:    usage.NewMeter(windows, r.trueTime.Now),
		reporter: reporter,
		wake:     make(chan struct{}, 1),
		delivery: usage.NewDelivery(r.Zone, reporter),
		learned:  map[string]learnedServer{},
	}
	return r.usage.meter
}

// run sends reports until the context ends.
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

// meterState returns the state of the meter.
func (u *usageReporter) meterState() usage.MeterState {
	return usage.MeterState{Version: u.meter.Version(), Empty: u.meter.IsEmpty()}
}

// sendDue sends the reports that are due, and returns how long to wait for the next ones.
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

func (u *usageReporter) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// servers returns the known control-plane servers: the members of all shards, those that these have named, or the
// seeds while nothing else is known. The lock must be held.
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

// send sends one report, and records what came of it.
func (u *usageReporter) send(ctx context.Context, shipment usage.Shipment) {
	changes, version := u.meter.ChangesSince(shipment.Since)
	report := &usage.Report{Reporter: u.reporter, Windows: changes}
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

// sendLast sends what has not been reported yet, and waits until that was answered or has timed out.
func (u *usageReporter) sendLast(ctx context.Context) {
	u.lock.Lock()
	shipments := u.delivery.FinalShipments(u.router.clock.Now(), u.meterState())
	u.lock.Unlock()
	var group sync.WaitGroup
	for _, shipment := range shipments {
		group.Go(func() { u.send(ctx, shipment) })
	}
	group.Wait()
}

// addCounters adds the counters by the names that operators see.
func (u *usageReporter) addCounters(counters map[string]int64) {
	counters["usage-reports"] = u.Reports.Load()
	counters["usage-report-failures"] = u.Failures.Load()
	counters["usage-runs-dropped"] = u.meter.Dropped.Load()
}
