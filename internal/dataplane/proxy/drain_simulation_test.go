package proxy_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

const (
	// propagationDelay is the maximum delay until a router receives a maintenance window.
	propagationDelay = 500 * time.Millisecond
	// warmupDuration is the time until the engines have cached the shared prefixes.
	warmupDuration = 5 * time.Second
	// drainedRegion is the region that is drained.
	drainedRegion = "north"
)

// drainSimulation simulates the drain of a region on a virtual clock. It has one router in each zone and
// a fleet of simulated engines.
type drainSimulation struct {
	*testing.T
	*simulatedFleet
	routers []*simulatedRouter
	view    config.View
	engines map[string]registry.Engine
	random  *rand.Rand
	// regionLost is closed when the drained region is partitioned from the clients.
	regionLost chan struct{}
	// group tracks the goroutines of clients, load generators and checks.
	group sync.WaitGroup
	// isNearFault, if set, reports whether an injected crash or partition may affect a response.
	isNearFault func(*receivedResponse) bool
}

// simulatedRouter is the proxy of a simulated router and the router's zone.
type simulatedRouter struct {
	*proxy.Proxy
	zone string
}

// runDrainSimulation runs a scenario with a new observer and returns the observer.
func runDrainSimulation(
	t *testing.T,
	seed uint64,
	fault injectedFault,
	scenario func(*drainSimulation),
) *fleetObserver {
	t.Helper()
	return runDrainSimulationWith(t, newFleetObserver(), seed, fault, scenario)
}

// runDrainSimulationWith runs a scenario until all its requests have ended. It returns the observer.
func runDrainSimulationWith(
	t *testing.T,
	observer *fleetObserver,
	seed uint64,
	fault injectedFault,
	scenario func(*drainSimulation),
) *fleetObserver {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newDrainSimulation(t, observer, seed, fault)
		scenario(sim)
		sim.group.Wait()
		time.Sleep(time.Minute)
	})
	return observer
}

func newDrainSimulation(
	t *testing.T,
	observer *fleetObserver,
	seed uint64,
	fault injectedFault,
) *drainSimulation {
	t.Helper()
	sim := &drainSimulation{
		T:              t,
		simulatedFleet: newSimulatedFleet(observer),
		random:         rand.New(rand.NewPCG(seed, 7)),
		engines:        map[string]registry.Engine{},
		regionLost:     make(chan struct{}),
	}
	sim.fault = fault
	for incarnation, engine := range sim.simulatedFleet.engines {
		sim.engines[incarnation] = registry.Engine{
			Name:        incarnation,
			Incarnation: incarnation,
			Service:     "model",
			Zone:        engine.Zone,
			Address:     incarnation,
			Role:        engine.Role,
			Slots:       engine.Slots,
		}
	}
	sim.view = config.View{Revision: 1, RouteTable: sim.routeTable()}
	sim.addRouters()
	return sim
}

// routeTable returns a table with one route for each kind of requests.
func (d *drainSimulation) routeTable() route.Table {
	routes := map[string]route.Route{}
	for _, kind := range allKinds {
		maxAttempts := 3
		if kind.nonRetryable {
			maxAttempts = 1
		}
		allowedRegions := d.allowedRegions("/" + kind.name + "/")
		if d.fault == faultAllRegions {
			allowedRegions = nil
		}
		routes[kind.name] = route.Route{
			Name:         kind.name,
			Host:         "host",
			Prefix:       "/" + kind.name + "/",
			Kind:         route.KindStream,
			Resume:       !kind.nonRetryable,
			MaxAttempts:  maxAttempts,
			Regions:      allowedRegions,
			TotalTimeout: clock.FromDuration(kind.deadline),
			StartTimeout: clock.FromDuration(kind.startTarget),
			EventTimeout: 250 * clock.Millisecond,
			Services:     []route.WeightedService{{Service: "model", Weight: 1}},
		}
	}
	return route.Table{Routes: routes, Services: map[string]route.Service{"model": {Name: "model"}}}
}

// addRouters adds a router in each zone.
func (d *drainSimulation) addRouters() {
	startedAt := time.Now()
	timeSource := clock.NewFromSource(func() clock.Microseconds {
		return clock.Second + clock.FromDuration(time.Since(startedAt))
	})
	for _, zone := range slices.Sorted(maps.Keys(simulatedRegions)) {
		options := proxy.Options{
			Options: balancer.Options{
				Router:             zone,
				Zone:               zone,
				Regions:            simulatedRegions,
				CrossZoneCost:      1500,
				CrossRegionLatency: 40 * clock.Millisecond,
			},
			RetryRatio: 0.2,
			RetryBurst: 60,
		}
		router := &simulatedRouter{proxy.New(options, timeSource, &simulatedEngineClient{d.simulatedFleet, zone}), zone}
		router.Configure(d.view)
		router.UpdateEngines(registry.View{Engines: d.engines}, len(simulatedRegions))
		d.routers = append(d.routers, router)
	}
}

// publishMaintenance sends the maintenance windows to every router, each with a random delay.
func (d *drainSimulation) publishMaintenance(windows ...maintenance.Window) {
	d.view.Revision++
	d.view.MaintenanceWindows = windows
	view := d.view
	for _, router := range d.routers {
		delay := time.Duration(d.random.IntN(int(propagationDelay)))
		time.AfterFunc(delay, func() { router.Configure(view) })
	}
}

// startDrain announces a maintenance window of the drained region. The region is closed for new work
// when the window starts, and its streams migrate during the window.
func (d *drainSimulation) startDrain(startsIn, duration time.Duration) {
	d.observerLock.Lock()
	d.drainedRegion = drainedRegion
	d.closedAt = time.Now().Add(startsIn + propagationDelay + interRegionLatency + intraRegionLatency)
	d.observerLock.Unlock()
	if d.fault == faultUnannounced {
		return
	}
	d.publishMaintenance(maintenance.Window{
		Region:      drainedRegion,
		StartsAfter: clock.FromDuration(startsIn),
		Duration:    clock.FromDuration(duration),
		Revision:    d.view.Revision + 1,
	})
}

// selectRouter returns a ready router. It prefers routers in the client's region. The rotation selects
// among equally good routers.
func (d *drainSimulation) selectRouter(region string, rotation int) *simulatedRouter {
	var nearby, remote []*simulatedRouter
	for _, router := range d.routers {
		routerRegion := simulatedRegions.RegionOf(router.zone)
		switch {
		case !router.Ready() || routerRegion == drainedRegion && isClosed(d.regionLost):
		case routerRegion == region:
			nearby = append(nearby, router)
		default:
			remote = append(remote, router)
		}
	}
	if len(nearby) > 0 {
		return nearby[rotation%len(nearby)]
	}
	return remote[rotation%len(remote)]
}

// simulatedRequest is a request of a simulated client, over all its attempts.
type simulatedRequest struct {
	kind         requestKind
	region       string
	sharedPrefix int
	response     *receivedResponse
}

// sendRequest sends a request from a new client, with a random router and shared prefix. The client
// retries, as the routers' responses permit, until its deadline.
func (d *drainSimulation) sendRequest(kind requestKind, index int) {
	rotation := d.random.Int()
	sharedPrefix := d.random.IntN(12)
	d.sendRequestWithRotation(rotation, kind, index, sharedPrefix)
}

// sendRequestWithRotation sends a request from a new client. The client's attempts use the routers of its
// region in turn, from the one given by rotation on.
func (d *drainSimulation) sendRequestWithRotation(rotation int, kind requestKind, index, sharedPrefix int) {
	sent := simulatedRequest{
		kind:         kind,
		region:       simulatedRegions.Names()[index%3],
		sharedPrefix: sharedPrefix,
		response: &receivedResponse{
			fleetObserver: d.fleetObserver,
			target:        kind.requestTarget(index),
			sentAt:        time.Now(),
		},
	}
	d.group.Go(func() {
		for attempt := 0; time.Since(sent.response.sentAt) < kind.deadline; attempt++ {
			router := d.selectRouter(sent.region, rotation+attempt)
			if !d.sendAttempt(sent, router, attempt) {
				break
			}
		}
		sent.response.finish(d.isNearFault != nil && d.isNearFault(sent.response))
	})
}

// sendAttempt sends one attempt of a request to a router. It reports whether the client may retry.
func (d *drainSimulation) sendAttempt(sent simulatedRequest, router *simulatedRouter, attempt int) bool {
	latency := intraRegionLatency
	if simulatedRegions.RegionOf(router.zone) != sent.region {
		latency = interRegionLatency
	}
	time.Sleep(latency)
	request := sent.newAttempt(attempt)
	ctx, cancel := context.WithCancel(d.Context())
	defer cancel()
	if simulatedRegions.RegionOf(router.zone) == drainedRegion {
		// Cancel the attempt when the region is lost. The client may then retry at another router.
		go func() {
			select {
			case <-d.regionLost:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	response := sent.response
	response.retryAfter, response.outcomeUnknown, response.partialEvent = 0, false, ""
	completed := router.Forward(ctx, request, &simulatedClient{response, latency})
	time.Sleep(latency)
	switch {
	case response.receivedEvents == sent.kind.eventCount:
		return false
	case response.retryAfter > 0:
		time.Sleep(response.retryAfter.Duration())
		return true
	case sent.kind.nonRetryable:
		return false
	}
	return !completed || response.outcomeUnknown
}

// newAttempt returns the message that the client sends in an attempt.
func (s simulatedRequest) newAttempt(attempt int) platformport.Request {
	target := s.response.target
	request := platformport.Request{
		Method:    "POST",
		Target:    target,
		Host:      "host",
		Path:      target,
		RequestID: fmt.Sprintf("%s%d", target, attempt),
		Timeout:   clock.FromDuration(s.kind.deadline - time.Since(s.response.sentAt)),
		MaxTokens: s.kind.eventCount,
		Body:      make([]byte, 2000),
	}
	for chunk := range s.kind.sharedChunks {
		name := fmt.Sprint(s.kind.name, s.sharedPrefix, chunk)
		request.Prompt = append(request.Prompt, platformport.PromptChunk{Name: name, Tokens: 1000})
	}
	own := platformport.PromptChunk{Name: target, Tokens: s.kind.unsharedTokens}
	request.Prompt = append(request.Prompt, own)
	if !s.kind.nonRetryable && s.response.receivedEvents > 0 {
		request.LastEventID = fmt.Sprint(s.response.receivedEvents)
	}
	return request
}

// simulatedClient receives the response to one attempt of a client.
type simulatedClient struct {
	*receivedResponse
	latency time.Duration
}

func (s *simulatedClient) WriteHead(int, http.Header, int64) {}

func (s *simulatedClient) Write(data []byte) error {
	s.consume(string(data))
	return nil
}

func (s *simulatedClient) Reject(err error, retryAfter clock.Microseconds) {
	s.retryAfter, s.outcomeUnknown, s.failureText = retryAfter, retryAfter == 0, errcode.Text(err)
}

// generateLoad starts to send requests of all kinds, for the given duration.
func (d *drainSimulation) generateLoad(duration time.Duration) {
	startedAt := time.Now()
	d.observerLock.Lock()
	d.warmAt = startedAt.Add(warmupDuration)
	d.observerLock.Unlock()
	for _, kind := range requestKinds {
		index := 0
		d.group.Go(func() {
			for time.Since(startedAt) < duration {
				d.lock.Lock()
				pause := time.Duration((0.5 + d.random.Float64()) * float64(kind.requestInterval))
				d.sendRequest(kind, index)
				d.lock.Unlock()
				index++
				time.Sleep(pause)
			}
		})
	}
}

// delistRole removes the engines of a role in a region from the registry.
func (d *drainSimulation) delistRole(region, role string) {
	for incarnation, engine := range d.engines {
		if simulatedRegions.RegionOf(engine.Zone) == region && engine.Role == role {
			d.delistEngine(incarnation)
		}
	}
}

// delistEngine removes an engine from the registry.
func (d *drainSimulation) delistEngine(incarnation string) {
	d.engines = maps.Clone(d.engines)
	delete(d.engines, incarnation)
	for _, router := range d.routers {
		router.UpdateEngines(registry.View{Engines: d.engines}, len(simulatedRegions))
	}
}

// setFaultWindow sets isNearFault to report the requests that are sent between the given times before
// and after an instant.
func (d *drainSimulation) setFaultWindow(instant time.Time, before, after time.Duration) {
	d.isNearFault = func(response *receivedResponse) bool {
		return response.sentAt.After(instant.Add(-before)) && response.sentAt.Before(instant.Add(after))
	}
}

// liveRuns returns the number of runs at the engines of a region.
func (d *drainSimulation) liveRuns(region string) int {
	count := 0
	for _, engine := range d.simulatedFleet.engines {
		if simulatedRegions.RegionOf(engine.Zone) == region {
			engine.lock.Lock()
			count += engine.running
			engine.lock.Unlock()
		}
	}
	return count
}

// sumCounters returns the sum of a counter over all routers.
func (d *drainSimulation) sumCounters(count func(*proxy.Proxy) int64) int64 {
	total := int64(0)
	for _, router := range d.routers {
		total += count(router.Proxy)
	}
	return total
}

// The counters that tests pass to sumCounters.
func migratedStreams(forwarder *proxy.Proxy) int64    { return forwarder.Migrated.Load() }
func resumedStreams(forwarder *proxy.Proxy) int64     { return forwarder.Resumed.Load() }
func abortedMigrations(forwarder *proxy.Proxy) int64  { return forwarder.MigrationsAborted.Load() }
func invalidTransitions(forwarder *proxy.Proxy) int64 { return forwarder.InvalidTransitions.Load() }

// exhaustedRetryBudgets returns how often the retry budget of a router had too few tokens.
func exhaustedRetryBudgets(forwarder *proxy.Proxy) int64 {
	return forwarder.RetryBudgetExhausted.Load()
}
