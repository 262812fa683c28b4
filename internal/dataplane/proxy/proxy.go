package proxy

import (
	"sync"
	"sync/atomic"

	"coursepass/internal/callgroup"
	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/metrics"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
)

// Proxy forwards client requests from one router to engines. It implements platformport.Proxy.
type Proxy struct {
	Counters
	Options
	clock        *clock.Clock
	engineClient platformport.EngineClient
	// configView is the current configuration, nil before the first call of Configure.
	configView     atomic.Pointer[config.View]
	retryBudget    lifecycle.RetryBudget
	startLatency   metrics.TimeToFirstByte
	timing         timingMetrics
	slowLogLimiter logRateLimiter
	placements     placementState
	maintenance    maintenance.Tracker
	// lock guards the fields below, up to OnSuspect.
	lock        sync.Mutex
	engines     registry.View
	routerCount int
	// balancers holds the load balancer of each service. Load balancers are never removed.
	balancers map[string]*balancer.Balancer
	// migratingEngines holds the incarnations of engines away from which a stream is being migrated.
	migratingEngines map[string]bool
	// background tracks the calls that may outlive their requests.
	background callgroup.Group
	// OnSuspect, if set, is called when an engine did not answer. It must be set before the first
	// request, and may be called concurrently.
	OnSuspect func(service, incarnation string)
	// Placer, if set, sends messages to placement owners. It must be set before the first request, and
	// its methods are called concurrently.
	Placer Placer
}

// New returns a proxy without a configuration or engines.
func New(options Options, timeSource *clock.Clock, client platformport.EngineClient) *Proxy {
	return &Proxy{
		Options:          options,
		clock:            timeSource,
		engineClient:     client,
		balancers:        map[string]*balancer.Balancer{},
		routerCount:      1,
		startLatency:     metrics.NewTimeToFirstByte(),
		timing:           newTimingMetrics(),
		placements:       newPlacementState(),
		slowLogLimiter:   logRateLimiter{perSecond: options.SlowRequestsPerSecond},
		migratingEngines: map[string]bool{},
	}
}

// Configure replaces the configuration.
func (p *Proxy) Configure(view config.View) {
	view.RouteTable.BuildIndex()
	p.maintenance.Update(p.clock.Now(), view.MaintenanceWindows)
	p.configView.Store(&view)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refreshBalancers()
}

// UpdateEngines replaces the registered engines, their assignments, and the number of routers that
// share the engines.
func (p *Proxy) UpdateEngines(engines registry.View, routerCount int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.engines, p.routerCount = engines, max(routerCount, 1)
	p.refreshBalancers()
}

// refreshBalancers passes the current engines and configuration to the load balancer of each service,
// and creates missing load balancers. The caller holds the lock.
func (p *Proxy) refreshBalancers() {
	view := p.configView.Load()
	if view == nil {
		return
	}
	now := p.clock.Now()
	enginesByService := map[string][]platformport.Engine{}
	for _, engine := range p.engines.Engines {
		enginesByService[engine.Service] = append(enginesByService[engine.Service], toPortEngine(engine))
	}
	for name, service := range view.RouteTable.Services {
		if p.balancers[name] == nil {
			p.balancers[name] = balancer.New(p.Options.Options)
		}
		assignment := p.engines.Assignments[name]
		serviceView := balancer.View{
			Service:        service,
			Engines:        enginesByService[name],
			Assignment:     assignment,
			EvacuatedZones: view.Evacuated,
			RouterCount:    p.routerCount,
		}
		p.balancers[name].Update(now, serviceView)
		p.updateOwnership(now, name, serviceView)
	}
}

// toPortEngine converts an engine of the registry. The registry tells only whether an engine is warming
// up. For such an engine, the remaining warm-up time is set to one second as a placeholder.
func toPortEngine(engine registry.Engine) platformport.Engine {
	warmup := clock.Microseconds(0)
	if engine.WarmingUp {
		warmup = clock.Second
	}
	return platformport.Engine{
		Incarnation:     engine.Incarnation,
		Service:         engine.Service,
		Address:         engine.Address,
		Zone:            engine.Zone,
		Slots:           engine.Slots,
		Draining:        engine.Draining,
		Role:            engine.Role,
		WarmupRemaining: warmup,
		ModelVersion:    engine.Weights,
	}
}

// BusyTime returns, for each service, the total time for which calls of this router kept engines busy.
// It leaves out services with a total of zero.
func (p *Proxy) BusyTime() []registry.BusyTime {
	p.lock.Lock()
	defer p.lock.Unlock()
	var busyTimes []registry.BusyTime
	for service, lb := range p.balancers {
		if prefill, decode := lb.BusyTime(); prefill+decode > 0 {
			busyTimes = append(busyTimes, registry.BusyTime{Service: service, Prefill: prefill, Decode: decode})
		}
	}
	return busyTimes
}

// HandleSuspect records a report that an engine did not answer another router.
func (p *Proxy) HandleSuspect(service, incarnation string) {
	now := p.clock.Now()
	if lb := p.balancer(service); lb != nil {
		lb.RecordPeerReport(now, incarnation)
	}
	if owned := p.placements.ownedBalancer(service); owned != nil {
		owned.RecordPeerReport(now, incarnation)
	}
}

// balancer returns the load balancer of a service, nil if the service is not configured.
func (p *Proxy) balancer(service string) *balancer.Balancer {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.balancers[service]
}

// activeRouters returns the number of routers that share the engines, at least one.
func (p *Proxy) activeRouters() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.routerCount
}

// Ready reports whether new clients may connect: the configuration has routes, and the router's region
// is not closed for maintenance.
func (p *Proxy) Ready() bool {
	view := p.configView.Load()
	if view == nil || len(view.RouteTable.Routes) == 0 {
		return false
	}
	return !p.maintenance.HasStarted(p.clock.Now(), p.Regions.RegionOf(p.Zone))
}

// Limits returns the maximum sizes of a request's header and body in bytes, or zeros without a
// configuration.
func (p *Proxy) Limits() (header, body int) {
	if view := p.configView.Load(); view != nil {
		return view.RouteTable.Limits.Header, view.RouteTable.Limits.Body
	}
	return 0, 0
}

// PendingCalls returns, by incarnation, the number of calls in flight to each engine in a region under
// maintenance. It returns nil if there is no such region.
func (p *Proxy) PendingCalls() map[string]int {
	regions := p.maintenance.Regions()
	if len(regions) == 0 {
		return nil
	}
	counts := map[string]int{}
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, lb := range p.balancers {
		lb.CountPending(regions, counts)
	}
	return counts
}
