package proxy

import (
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/metrics"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
)

// Proxy forwards the requests of one router. It implements platformport.Proxy.
type Proxy struct {
	Counters
	Options
	clock        *clock.Clock
	engineClient platformport.EngineClient
	// configView is the configuration in force, nil before the first one.
	configView   atomic.Pointer[config.View]
	retryBudget  lifecycle.RetryBudget
	startLatency metrics.TimeToFirstByte
	timing       timingMetrics
	slowLog      rateLimitedLog
	placements   placementState
	maintenance  maintenance.Tracker
	// lock guards the fields below, up to OnSuspect.
	lock        sync.Mutex
	engines     registry.View
	routerCount int
	// balancers are the load balancers by service; none is ever removed.
	balancers map[string]*balancer.Balancer
	// migratingEngines holds the incarnations from which a stream is being migrated.
	migratingEngines map[string]bool
	// background are the calls that outlive their requests.
	background sync.WaitGroup
	// OnSuspect, if set, is called when an engine did not answer. It must be set before the first
	// request, and may be called concurrently.
	OnSuspect func(service, incarnation string)
	// Placer, if set, asks placement owners. It must be set before the first request, and its method is
	// called concurrently.
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
		slowLog:          rateLimitedLog{perSecond: options.SlowRequestsPerSecond},
		migratingEngines: map[string]bool{},
	}
}

// Configure puts a configuration in force.
func (p *Proxy) Configure(view config.View) {
	view.RouteTable.BuildIndex()
	p.maintenance.Update(p.clock.Now(), view.MaintenanceWindows)
	p.configView.Store(&view)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refreshBalancers()
}

// UpdateEngines replaces the registered engines with their assignments, and the number of routers
// that share them.
func (p *Proxy) UpdateEngines(engines registry.View, routerCount int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.engines, p.routerCount = engines, max(routerCount, 1)
	p.refreshBalancers()
}

// refreshBalancers passes the engines and the configuration to the load balancer of each service.
// The caller holds the lock.
func (p *Proxy) refreshBalancers() {
	view := p.configView.Load()
	if view == nil {
		return
	}
	now := p.clock.Now()
	enginesByService := map[string][]platformport.Engine{}
	for _, engine := range p.engines.Engines {
		enginesByService[engine.Service] = append(enginesByService[engine.Service], portEngine(engine))
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

// portEngine converts an engine of the registry. The registry says only whether an engine is
// warming up, so that the remaining time is nominal.
func portEngine(engine registry.Engine) platformport.Engine {
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

// BusyTime returns how long this router has kept the engines of each service busy.
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

// HandleSuspect records that an engine did not answer another router.
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

// activeRouters returns how many routers share the engines, at least one.
func (p *Proxy) activeRouters() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.routerCount
}

// Ready reports whether new clients may connect: there are routes, and the router's own region is
// not closed for maintenance.
func (p *Proxy) Ready() bool {
	view := p.configView.Load()
	if view == nil || len(view.RouteTable.Routes) == 0 {
		return false
	}
	return !p.maintenance.HasStarted(p.clock.Now(), p.Regions.RegionOf(p.Zone))
}

// Limits returns the largest request header and body in bytes, zero without a configuration.
func (p *Proxy) Limits() (header, body int) {
	if view := p.configView.Load(); view != nil {
		return view.RouteTable.Limits.Header, view.RouteTable.Limits.Body
	}
	return 0, 0
}

// PendingCalls returns the number of calls in flight for each engine in a region under
// maintenance, by incarnation. It returns nil if there is no such region.
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
