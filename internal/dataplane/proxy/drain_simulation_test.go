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

// drainSimulation is many routers' carriers over one catalogue, under the virtual clock.
type drainSimulation struct {
	*testing.T
	*fleetModel
	routers    []*modelRouter
	view       config.View
	engines    map[string]registry.Engine
	random     *rand.Rand
	regionLost chan struct{}
	group      sync.WaitGroup
	isExcused  func(*receivedResponse) bool
}

type modelRouter struct {
	*proxy.Proxy
	zone string
}

func runDrainSimulation(t *testing.T, seed uint64, fault string, scenario func(*drainSimulation)) *fleetObserver {
	return runDrainSimulationWith(t, newFleetObserver(), seed, fault, scenario)
}

func runDrainSimulationWith(t *testing.T, observer *fleetObserver, seed uint64, fault string, scenario func(*drainSimulation)) *fleetObserver {
	synctest.Test(t, func(t *testing.T) {
		sim := &drainSimulation{T: t, fleetModel: newFleetModel(observer), random: rand.New(rand.NewPCG(seed, 7)), engines: map[string]registry.Engine{}, regionLost: make(chan struct{})}
		sim.fault = fault
		startedAt := time.Now()
		timeSource := clock.NewFromSource(func() clock.Microseconds { return clock.Second + clock.FromDuration(time.Since(startedAt)) })
		for incarnation, engine := range sim.fleetModel.engines {
			sim.engines[incarnation] = registry.Engine{Name: incarnation, Incarnation: incarnation, Service: "model", Hall: engine.Zone, Address: incarnation, Part: engine.Role, Slots: engine.Slots}
		}
		routes := route.Table{Routes: map[string]route.Route{}, Services: map[string]route.Service{"model": {Name: "model"}}}
		for _, kind := range allKinds {
			maxAttempts := 3
			if kind.nonRetryable {
				maxAttempts = 1
			}
			allowedRegions := observer.allowedRegions("/" + kind.name + "/")
			if fault == "abroad" {
				allowedRegions = nil
			}
			routes.Routes[kind.name] = route.Route{
				Name: kind.name, Host: "host", Prefix: "/" + kind.name + "/", Kind: route.KindStream, Resume: !kind.nonRetryable, Tries: maxAttempts, Homes: allowedRegions,
				GiveUp: clock.FromDuration(kind.deadline), Start: clock.FromDuration(kind.startTarget), Gap: 250 * clock.Millisecond, Shares: []route.WeightedService{{Service: "model", Weight: 1}},
			}
		}
		sim.view = config.View{Sequence: 1, Book: routes}
		for _, zone := range slices.Sorted(maps.Keys(modelRegions)) {
			options := proxy.Options{
				Options:    balancer.Options{Router: zone, Zone: zone, Regions: modelRegions, CrossZoneCost: 1500, CrossRegionLatency: 40 * clock.Millisecond},
				RetryRatio: 0.2, RetryBurst: 60,
			}
			router := &modelRouter{proxy.New(options, timeSource, &modelClient{sim.fleetModel, zone}), zone}
			router.Configure(sim.view)
			router.UpdateEngines(registry.View{Engines: sim.engines}, len(modelRegions))
			sim.routers = append(sim.routers, router)
		}
		scenario(sim)
		sim.group.Wait()
		time.Sleep(time.Minute)
	})
	return observer
}

// publishMaintenance has every router hear of notices, each a little later than others.
func (d *drainSimulation) publishMaintenance(windows ...maintenance.Window) {
	d.view.Sequence++
	d.view.Notices = windows
	view := d.view
	for _, router := range d.routers {
		delay := time.Duration(d.random.IntN(int(propagationDelay)))
		time.AfterFunc(delay, func() { router.Configure(view) })
	}
}

const (
	propagationDelay = 500 * time.Millisecond
	warmupDuration   = 5 * time.Second
)

// startDrain tells of the north's drain, and when it is to be shut.
func (d *drainSimulation) startDrain(startsIn, duration time.Duration) {
	d.observerLock.Lock()
	d.drainedRegion, d.closedAt = "north", time.Now().Add(startsIn+propagationDelay+interRegionLatency+intraRegionLatency)
	d.observerLock.Unlock()
	if d.fault != "untold" {
		d.publishMaintenance(maintenance.Window{Region: "north", Begins: clock.FromDuration(startsIn), Window: clock.FromDuration(duration), Sequence: d.view.Sequence + 1})
	}
}

// selectRouter is a ready router, of the caller's own region if there is one.
func (d *drainSimulation) selectRouter(region string, rotation int) *modelRouter {
	var nearby, remote []*modelRouter
	for _, router := range d.routers {
		switch {
		case !router.Ready() || modelRegions.RegionOf(router.zone) == "north" && isClosed(d.regionLost):
		case modelRegions.RegionOf(router.zone) == region:
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

// sendRequest has one caller ask some router of its region.
func (d *drainSimulation) sendRequest(kind requestKind, index int) {
	rotation, sharedPrefix := d.random.Int(), d.random.IntN(12)
	d.sendRequestBy(rotation, kind, index, sharedPrefix)
}

// sendBy has one caller ask, and ask again as it is told, inside its deadline; the routers
// take turns.
func (d *drainSimulation) sendRequestBy(rotation int, kind requestKind, index, sharedPrefix int) {
	region := modelRegions.Names()[index%3]
	response := &receivedResponse{fleetObserver: d.fleetObserver, target: fmt.Sprintf("/%s/%s-%d/", kind.name, kind.name, index), sentAt: time.Now()}
	d.group.Go(func() {
		for attempt := 0; time.Since(response.sentAt) < kind.deadline; attempt++ {
			router := d.selectRouter(region, rotation+attempt)
			if !d.sendAttempt(response, kind, router, region, attempt, sharedPrefix) {
				break
			}
		}
		response.finish(d.isExcused != nil && d.isExcused(response))
	})
}

// sendAttempt sends one try; it says whether another may follow.
func (d *drainSimulation) sendAttempt(response *receivedResponse, kind requestKind, router *modelRouter, region string, attempt, sharedPrefix int) bool {
	latency := intraRegionLatency
	if modelRegions.RegionOf(router.zone) != region {
		latency = interRegionLatency
	}
	time.Sleep(latency)
	request := platformport.Request{
		Method: "POST", Target: response.target, Host: "host", Path: response.target, RequestID: fmt.Sprintf("%s%d", response.target, attempt),
		Timeout: clock.FromDuration(kind.deadline - time.Since(response.sentAt)), MaxTokens: kind.eventCount, Body: make([]byte, 2000),
	}
	for chunk := range kind.sharedChunks {
		request.Prompt = append(request.Prompt, platformport.PromptChunk{Name: fmt.Sprint(kind.name, sharedPrefix, chunk), Tokens: 1000})
	}
	request.Prompt = append(request.Prompt, platformport.PromptChunk{Name: response.target, Tokens: kind.unsharedTokens})
	if !kind.nonRetryable && response.receivedEvents > 0 {
		request.LastEventID = fmt.Sprint(response.receivedEvents)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if modelRegions.RegionOf(router.zone) == "north" {
		// A caller whose router is lost goes on elsewhere, where that is allowed.
		go func() {
			select {
			case <-d.regionLost:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	response.stopped, response.retryAfter, response.outcomeUnknown, response.partialEvent = false, 0, false, ""
	completed := router.Forward(ctx, request, &simulatedClient{response, latency})
	time.Sleep(latency)
	switch {
	case response.receivedEvents == kind.eventCount:
		return false
	case response.retryAfter > 0:
		time.Sleep(response.retryAfter.Duration())
		return true
	case kind.nonRetryable:
		return false
	}
	return !completed || response.outcomeUnknown
}

// simulatedClient is the side of a call that waits, so far away.
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

// generateLoad sends all kinds for a while.
func (d *drainSimulation) generateLoad(duration time.Duration) {
	startedAt := time.Now()
	d.observerLock.Lock()
	d.warmAt = startedAt.Add(warmupDuration)
	d.observerLock.Unlock()
	for _, kind := range requestKinds {
		index := 0
		d.group.Go(func() {
			time.Sleep(time.Duration(index) * time.Millisecond)
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

// delistRole has engines of a part in a region not be listed.
func (d *drainSimulation) delistRole(region, role string) {
	for incarnation, engine := range d.engines {
		if modelRegions.RegionOf(engine.Hall) == region && engine.Part == role {
			d.delistEngine(incarnation)
		}
	}
}

// delistEngine has the list of engines end without one.
func (d *drainSimulation) delistEngine(incarnation string) {
	d.engines = maps.Clone(d.engines)
	delete(d.engines, incarnation)
	for _, router := range d.routers {
		router.UpdateEngines(registry.View{Engines: d.engines}, len(modelRegions))
	}
}

// excuseAround excuses what was sent a little before or after a moment.
func (d *drainSimulation) excuseAround(instant time.Time, before, after time.Duration) {
	d.isExcused = func(response *receivedResponse) bool {
		return response.sentAt.After(instant.Add(-before)) && response.sentAt.Before(instant.Add(after))
	}
}

// liveRuns counts the runs at a region's engines.
func (d *drainSimulation) liveRuns(region string) int {
	count := 0
	for _, engine := range d.fleetModel.engines {
		if modelRegions.RegionOf(engine.Zone) == region {
			engine.lock.Lock()
			count += engine.running
			engine.lock.Unlock()
		}
	}
	return count
}

func (d *drainSimulation) sumCounters(count func(*proxy.Proxy) int64) int64 {
	total := int64(0)
	for _, router := range d.routers {
		total += count(router.Proxy)
	}
	return total
}
