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
func (carrier *Carrier) Configure(view configuration.View) {
	view.Book.Index()
	carrier.board.Put(carrier.clock.Now(), view.Notices)
	carrier.view.Store(&view)
	carrier.lock.Lock()
	defer carrier.lock.Unlock()
	carrier.update()
}

// Enlist takes a list of engines with their contracts, and how many routers there are.
func (carrier *Carrier) Enlist(engines catalogue.View, routers int) {
	carrier.lock.Lock()
	defer carrier.lock.Unlock()
	carrier.engines, carrier.routers = engines, max(routers, 1)
	carrier.update()
}

func (carrier *Carrier) update() {
	view := carrier.view.Load()
	if view == nil {
		return
	}
	now := carrier.clock.Now()
	listed := map[string][]port.Engine{}
	for _, engine := range carrier.engines.Engines {
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
		if carrier.pools[name] == nil {
			carrier.pools[name] = pool.New(carrier.Terms.Terms)
		}
		carrier.pools[name].Update(now, service, listed[name], carrier.engines.Contracts[name], view.Evacuated, carrier.routers)
	}
}

// Busy tells for each service how long engines were kept busy for this router.
func (carrier *Carrier) Busy() []catalogue.Work {
	carrier.lock.Lock()
	defer carrier.lock.Unlock()
	var all []catalogue.Work
	for service, each := range carrier.pools {
		if read, made := each.Busy(); read+made > 0 {
			all = append(all, catalogue.Work{Service: service, Read: read, Made: made})
		}
	}
	return all
}

// Tally is what the carrier counts, by the names that operators see.
func (carrier *Carrier) Tally() map[string]int64 {
	return map[string]int64{
		"received": carrier.Received.Load(), "finished": carrier.Finished.Load(), "declined": carrier.Declined.Load(), "unknown": carrier.Unknown.Load(),
		"cut": carrier.Cut.Load(), "read-apart": carrier.Split.Load(), "read-by-makers": carrier.Whole.Load(), "repeats": carrier.Repeats.Load(),
		"resumed": carrier.Resumed.Load(), "unstarted": carrier.Unstarted.Load(), "mishaps": carrier.Mishaps.Load(), "silent": carrier.Silent.Load(),
		"astray": carrier.Astray.Load(), "no-route": carrier.NoRoute.Load(), "no-engine": carrier.NoEngine.Load(), "waited": carrier.Waited.Load(),
		"freed": carrier.Freed.Load(), "repeats-spent": carrier.RepeatsSpent.Load(), "left": carrier.Left.Load(),
	}
}

// Histograms are what the carrier measures.
func (carrier *Carrier) Histograms() []prometheus.Collector {
	return []prometheus.Collector{carrier.starts}
}

// Doubt takes another router's word that an engine did not answer it.
func (carrier *Carrier) Doubt(service, life string) {
	if each := carrier.pool(service); each != nil {
		each.Doubt(carrier.clock.Now(), life)
	}
}

func (carrier *Carrier) pool(service string) *pool.Pool {
	carrier.lock.Lock()
	defer carrier.lock.Unlock()
	return carrier.pools[service]
}

// Ready tells whether new callers may come.
func (carrier *Carrier) Ready() bool {
	view := carrier.view.Load()
	return view != nil && len(view.Book.Routes) > 0 && !carrier.board.Begun(carrier.clock.Now(), carrier.Regions.Of(carrier.Hall))
}

// Bounds are what callers may send.
func (carrier *Carrier) Bounds() (header, body int) {
	if view := carrier.view.Load(); view != nil {
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
func (carrier *Carrier) Carry(parent context.Context, call port.Call, caller port.Caller) bool {
	carrier.Received.Add(1)
	view := carrier.view.Load()
	if view == nil || len(view.Book.Routes) == 0 {
		carrier.Declined.Add(1)
		caller.Decline(mishap.New(mishap.RouterStale, "no configuration is in force here yet"), comeBackLate)
		return true
	}
	found := view.Book.Find(call.Host, call.Path)
	if found == nil {
		carrier.NoRoute.Add(1)
		caller.Decline(mishap.New(mishap.UnknownRoute, "%s%s", call.Host, call.Path), 0)
		return true
	}
	way := &way{
		chart: newChart(), carrier: carrier, route: found, call: call, caller: caller,
		begun: carrier.clock.Now(), avoid: map[string]bool{},
	}
	way.service = pick(found, call.Identity)
	way.pool = carrier.pool(way.service)
	way.until = way.begun + found.GiveUp
	if call.Left > 0 {
		way.until = min(way.until, way.begun+call.Left)
	}
	share := int(carrier.RepeatShare * 80)
	carrier.repeats.Enrol(share, carrier.RepeatExtra*0.8/float64(carrier.count()))
	bounded, cancel := context.WithTimeout(parent, (way.until - way.begun).Duration())
	defer cancel()
	defer func() { carrier.Astray.Add(way.astray) }()
	return way.run(bounded)
}

func (carrier *Carrier) count() int {
	carrier.lock.Lock()
	defer carrier.lock.Unlock()
	return carrier.routers
}
