// Package proxy takes opaque requests along the routes in force to the engines of their
// services, and their answers back.
package proxy

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/metrics"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// Options are a carrier's lengths and shares.
type Options struct {
	balancer.Options
	// RetryRatio and RepeatExtra bound repeats over all routers, per requests and besides.
	RetryRatio float64
	RetryBurst float64
}

// Counters are a carrier's counters.
type Counters struct {
	Received, Completed, Rejected, Unknown, Truncated                                                   atomic.Int64
	Split, Unsplit, Retries, Resumed, NotStarted, EngineFailures                                        atomic.Int64
	TimedOut, InvalidTransitions, NoRoute, NoEngine, Queued, KVReleased, RetryBudgetExhausted, Canceled atomic.Int64
	// Migrated are streams that left a drained region, Stayed tries to move one in vain.
	Migrated, MigrationsAborted atomic.Int64
}

// Proxy carries the requests of one router.
type Proxy struct {
	Counters
	Options
	clock        *clock.Clock
	engineClient platformport.EngineClient
	configView   atomic.Pointer[config.View]
	lock         sync.Mutex
	engines      registry.View
	balancers    map[string]*balancer.Balancer
	retryBudget  lifecycle.RetryBudget
	startLatency metrics.TimeToFirstByte
	routerCount  int
	maintenance  maintenance.Tracker
	// migratingEngines are the engines from which a stream is being moved now.
	migratingEngines map[string]bool
	// OnSuspect passes on that an engine did not answer, if it is set.
	OnSuspect func(service, incarnation string)
}

// New makes a carrier that nothing is in force at yet.
func New(options Options, timeSource *clock.Clock, client platformport.EngineClient) *Proxy {
	return &Proxy{Options: options, clock: timeSource, engineClient: client, balancers: map[string]*balancer.Balancer{}, routerCount: 1, startLatency: metrics.NewTimeToFirstByte(), migratingEngines: map[string]bool{}}
}

// Configure puts a configuration in force.
func (p *Proxy) Configure(view config.View) {
	view.Book.BuildIndex()
	p.maintenance.Update(p.clock.Now(), view.Notices)
	p.configView.Store(&view)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refreshBalancers()
}

// UpdateEngines takes a list of engines with their contracts, and how many routers there are.
func (p *Proxy) UpdateEngines(engines registry.View, routerCount int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.engines, p.routerCount = engines, max(routerCount, 1)
	p.refreshBalancers()
}

func (p *Proxy) refreshBalancers() {
	view := p.configView.Load()
	if view == nil {
		return
	}
	now := p.clock.Now()
	listed := map[string][]platformport.Engine{}
	for _, engine := range p.engines.Engines {
		warmup := clock.Microseconds(0)
		if engine.Cold {
			warmup = clock.Second
		}
		listed[engine.Service] = append(listed[engine.Service], platformport.Engine{
			Incarnation: engine.Incarnation, Service: engine.Service, Address: engine.Address, Zone: engine.Hall, Slots: engine.Slots,
			Draining: engine.Leaving, Role: engine.Part, WarmupRemaining: warmup, ModelVersion: engine.Weights,
		})
	}
	for name, service := range view.Book.Services {
		if p.balancers[name] == nil {
			p.balancers[name] = balancer.New(p.Options.Options)
		}
		p.balancers[name].Update(now, service, listed[name], p.engines.Contracts[name], view.Evacuated, p.routerCount)
	}
}

// BusyTime tells for each service how long engines were kept busy for this router.
func (p *Proxy) BusyTime() []registry.BusyTime {
	p.lock.Lock()
	defer p.lock.Unlock()
	var work []registry.BusyTime
	for service, lb := range p.balancers {
		if prefill, decode := lb.BusyTime(); prefill+decode > 0 {
			work = append(work, registry.BusyTime{Service: service, Read: prefill, Made: decode})
		}
	}
	return work
}

// CounterValues is what the carrier counts, by the names that operators see.
func (p *Proxy) CounterValues() map[string]int64 {
	return map[string]int64{
		"received": p.Received.Load(), "finished": p.Completed.Load(), "declined": p.Rejected.Load(), "unknown": p.Unknown.Load(),
		"cut": p.Truncated.Load(), "read-apart": p.Split.Load(), "read-by-makers": p.Unsplit.Load(), "repeats": p.Retries.Load(),
		"resumed": p.Resumed.Load(), "unstarted": p.NotStarted.Load(), "mishaps": p.EngineFailures.Load(), "silent": p.TimedOut.Load(),
		"astray": p.InvalidTransitions.Load(), "no-route": p.NoRoute.Load(), "no-engine": p.NoEngine.Load(), "waited": p.Queued.Load(),
		"freed": p.KVReleased.Load(), "repeats-spent": p.RetryBudgetExhausted.Load(), "left": p.Canceled.Load(),
	}
}

// Collectors are what the carrier measures.
func (p *Proxy) Collectors() []prometheus.Collector {
	return []prometheus.Collector{p.startLatency}
}

// HandleSuspect takes another router's word that an engine did not answer it.
func (p *Proxy) HandleSuspect(service, incarnation string) {
	if lb := p.balancer(service); lb != nil {
		lb.RecordPeerReport(p.clock.Now(), incarnation)
	}
}

func (p *Proxy) balancer(service string) *balancer.Balancer {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.balancers[service]
}

// Ready tells whether new callers may come.
func (p *Proxy) Ready() bool {
	view := p.configView.Load()
	return view != nil && len(view.Book.Routes) > 0 && !p.maintenance.HasStarted(p.clock.Now(), p.Regions.RegionOf(p.Zone))
}

// Limits are what callers may send.
func (p *Proxy) Limits() (header, body int) {
	if view := p.configView.Load(); view != nil {
		return view.Book.Bounds.Header, view.Book.Bounds.Body
	}
	return 0, 0
}

// selectService parts a route's requests over its services by their weights.
func selectService(target *route.Route, requestID string) string {
	totalWeight := 0
	for _, share := range target.Shares {
		totalWeight += share.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	hash := fnv.New32a()
	hash.Write([]byte(requestID))
	offset := int(hash.Sum32() % uint32(totalWeight))
	for _, share := range target.Shares {
		if offset -= share.Weight; offset < 0 {
			return share.Service
		}
	}
	return ""
}

const (
	retryAfterShort = 150 * clock.Millisecond
	retryAfterLong  = 500 * clock.Millisecond
)

// Forward carries one request; it returns whether its answer is whole.
func (p *Proxy) Forward(parent context.Context, request platformport.Request, responseWriter platformport.ResponseWriter) bool {
	p.Received.Add(1)
	view := p.configView.Load()
	if view == nil || len(view.Book.Routes) == 0 {
		p.Rejected.Add(1)
		responseWriter.Reject(errcode.New(errcode.RouterStale, "no configuration is in force here yet"), retryAfterLong)
		return true
	}
	matchedRoute := view.Book.Find(request.Host, request.Path)
	if matchedRoute == nil {
		p.NoRoute.Add(1)
		responseWriter.Reject(errcode.New(errcode.UnknownRoute, "%s%s", request.Host, request.Path), 0)
		return true
	}
	forwarded := &forwardedRequest{
		requestState: newRequestState(), proxy: p, route: matchedRoute, request: request, responseWriter: responseWriter,
		startedAt: p.clock.Now(), excluded: map[string]bool{},
	}
	forwarded.service = selectService(matchedRoute, request.RequestID)
	forwarded.balancer = p.balancer(forwarded.service)
	forwarded.deadline = forwarded.startedAt + matchedRoute.GiveUp
	if request.Timeout > 0 {
		forwarded.deadline = min(forwarded.deadline, forwarded.startedAt+request.Timeout)
	}
	retryPercent := int(p.RetryRatio * 80)
	p.retryBudget.Deposit(retryPercent, p.RetryBurst*0.8/float64(p.activeRouters()))
	ctx, cancel := context.WithTimeout(parent, (forwarded.deadline - forwarded.startedAt).Duration())
	defer cancel()
	defer func() { p.InvalidTransitions.Add(forwarded.invalidTransitions) }()
	return forwarded.run(ctx)
}

func (p *Proxy) activeRouters() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.routerCount
}
