// Package carrier takes opaque requests along the routes in force to the engines of their
// services, and their answers back.
package carrier

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

// Terms are a carrier's lengths and shares.
type Terms struct {
	pool.Terms
	// RepeatShare and RepeatExtra bound repeats over all routers, per requests and besides.
	RepeatShare float64
	RepeatExtra float64
}

// Counters are a carrier's counters.
type Counters struct {
	Received, Finished, Declined, Unknown, Cut                           atomic.Int64
	Split, Whole, Repeats, Resumed, Unstarted, Mishaps                   atomic.Int64
	Silent, Astray, NoRoute, NoEngine, Waited, Freed, RepeatsSpent, Left atomic.Int64
	// Moved are streams that left a drained region, Stayed tries to move one in vain.
	Moved, Stayed atomic.Int64
}

// Carrier carries the requests of one router.
type Carrier struct {
	Counters
	Terms
	clock   *schedule.Clock
	driver  port.Driver
	view    atomic.Pointer[configuration.View]
	lock    sync.Mutex
	engines catalogue.View
	pools   map[string]*pool.Pool
	repeats relay.Repeats
	starts  metric.Starts
	routers int
	board   notice.Board
	// leaving are the engines from which a stream is being moved now.
	leaving map[string]bool
	// Tell passes on that an engine did not answer, if it is set.
	Tell func(service, life string)
}

// New makes a carrier that nothing is in force at yet.
func New(terms Terms, clock *schedule.Clock, driver port.Driver) *Carrier {
	return &Carrier{Terms: terms, clock: clock, driver: driver, pools: map[string]*pool.Pool{}, routers: 1, starts: metric.NewStarts(), leaving: map[string]bool{}}
}

// Configure puts a configuration in force.
func (p *Carrier) Configure(view configuration.View) {
	view.Book.Index()
	p.board.Put(p.clock.Now(), view.Notices)
	p.view.Store(&view)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.update()
}

// Enlist takes a list of engines with their contracts, and how many routers there are.
func (p *Carrier) Enlist(engines catalogue.View, routers int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.engines, p.routers = engines, max(routers, 1)
	p.update()
}

func (p *Carrier) update() {
	view := p.view.Load()
	if view == nil {
		return
	}
	now := p.clock.Now()
	listed := map[string][]port.Engine{}
	for _, engine := range p.engines.Engines {
		cold := schedule.Microseconds(0)
		if engine.Cold {
			cold = schedule.Second
		}
		listed[engine.Service] = append(listed[engine.Service], port.Engine{
			Life: engine.Incarnation, Service: engine.Service, Address: engine.Address, Hall: engine.Hall, Slots: engine.Slots,
			Leaving: engine.Leaving, Part: engine.Part, Cold: cold, Weights: engine.Weights,
		})
	}
	for name, service := range view.Book.Services {
		if p.pools[name] == nil {
			p.pools[name] = pool.New(p.Terms.Terms)
		}
		p.pools[name].Update(now, service, listed[name], p.engines.Contracts[name], view.Evacuated, p.routers)
	}
}

// Busy tells for each service how long engines were kept busy for this router.
func (p *Carrier) Busy() []catalogue.Work {
	p.lock.Lock()
	defer p.lock.Unlock()
	var all []catalogue.Work
	for service, each := range p.pools {
		if read, made := each.Busy(); read+made > 0 {
			all = append(all, catalogue.Work{Service: service, Read: read, Made: made})
		}
	}
	return all
}

// Tally is what the carrier counts, by the names that operators see.
func (p *Carrier) Tally() map[string]int64 {
	return map[string]int64{
		"received": p.Received.Load(), "finished": p.Finished.Load(), "declined": p.Declined.Load(), "unknown": p.Unknown.Load(),
		"cut": p.Cut.Load(), "read-apart": p.Split.Load(), "read-by-makers": p.Whole.Load(), "repeats": p.Repeats.Load(),
		"resumed": p.Resumed.Load(), "unstarted": p.Unstarted.Load(), "mishaps": p.Mishaps.Load(), "silent": p.Silent.Load(),
		"astray": p.Astray.Load(), "no-route": p.NoRoute.Load(), "no-engine": p.NoEngine.Load(), "waited": p.Waited.Load(),
		"freed": p.Freed.Load(), "repeats-spent": p.RepeatsSpent.Load(), "left": p.Left.Load(),
	}
}

// Histograms are what the carrier measures.
func (p *Carrier) Histograms() []prometheus.Collector {
	return []prometheus.Collector{p.starts}
}

// Doubt takes another router's word that an engine did not answer it.
func (p *Carrier) Doubt(service, life string) {
	if each := p.pool(service); each != nil {
		each.Doubt(p.clock.Now(), life)
	}
}

func (p *Carrier) pool(service string) *pool.Pool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.pools[service]
}

// Ready tells whether new callers may come.
func (p *Carrier) Ready() bool {
	view := p.view.Load()
	return view != nil && len(view.Book.Routes) > 0 && !p.board.Begun(p.clock.Now(), p.Regions.Of(p.Hall))
}

// Bounds are what callers may send.
func (p *Carrier) Bounds() (header, body int) {
	if view := p.view.Load(); view != nil {
		return view.Book.Bounds.Header, view.Book.Bounds.Body
	}
	return 0, 0
}

// pick parts a route's requests over its services by their weights.
func pick(route *route.Route, identity string) string {
	sum := 0
	for _, share := range route.Shares {
		sum += share.Weight
	}
	if sum <= 0 {
		return ""
	}
	hash := fnv.New32a()
	hash.Write([]byte(identity))
	place := int(hash.Sum32() % uint32(sum))
	for _, share := range route.Shares {
		if place -= share.Weight; place < 0 {
			return share.Service
		}
	}
	return ""
}

const (
	comeBackSoon = 150 * schedule.Millisecond
	comeBackLate = 500 * schedule.Millisecond
)

// Carry carries one request; it returns whether its answer is whole.
func (p *Carrier) Carry(parent context.Context, call port.Call, caller port.Caller) bool {
	p.Received.Add(1)
	view := p.view.Load()
	if view == nil || len(view.Book.Routes) == 0 {
		p.Declined.Add(1)
		caller.Decline(mishap.New(mishap.RouterStale, "no configuration is in force here yet"), comeBackLate)
		return true
	}
	found := view.Book.Find(call.Host, call.Path)
	if found == nil {
		p.NoRoute.Add(1)
		caller.Decline(mishap.New(mishap.UnknownRoute, "%s%s", call.Host, call.Path), 0)
		return true
	}
	way := &way{
		chart: newChart(), carrier: p, route: found, call: call, caller: caller,
		begun: p.clock.Now(), avoid: map[string]bool{},
	}
	way.service = pick(found, call.Identity)
	way.pool = p.pool(way.service)
	way.until = way.begun + found.GiveUp
	if call.Left > 0 {
		way.until = min(way.until, way.begun+call.Left)
	}
	share := int(p.RepeatShare * 80)
	p.repeats.Enrol(share, p.RepeatExtra*0.8/float64(p.count()))
	bounded, cancel := context.WithTimeout(parent, (way.until - way.begun).Duration())
	defer cancel()
	defer func() { p.Astray.Add(way.astray) }()
	return way.run(bounded)
}

func (p *Carrier) count() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.routers
}
