// Package router is the data-plane daemon: it takes callers' requests and runs
// them on engines along the contract in force.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a router.
type Settings struct {
	setting.Place
	setting.Inner
	Grace   int `long:"grace-ms" description:"how long running streams may go on after a polite stop" default:"9000"`
	Silence int `long:"silence-ms" description:"how long a stream may fall silent before it is given up" default:"1000"`
	//lint:ignore SA5008 go-flags reads a repeated choice tag as a list
	Gate  string `long:"gate" description:"strict: without a fresh majority read no new work is taken; open: what is in force here is served on, and first of all what any core has committed" choice:"strict" choice:"open" default:"strict"`
	Fresh int    `long:"fresh-ms" description:"how old the last majority read may be before no new work is taken" default:"1600"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	if err := s.Place.Check(); err != nil {
		return err
	}
	if s.Fresh < 600 || s.Fresh > 1900 {
		return mishapSetting("--fresh-ms: %d is not between 600 and 1900", s.Fresh)
	}
	if s.Silence < 100 || s.Silence > 60_000 {
		return mishapSetting("--silence-ms: %d is not between 100 and 60000", s.Silence)
	}
	if s.Grace < 0 || s.Grace > 600_000 {
		return mishapSetting("--grace-ms: %d is not between 0 and 600000", s.Grace)
	}
	return s.Inner.Check()
}

// Counters are a router's counters.
type Counters struct {
	Received   atomic.Int64
	Enrolled   atomic.Int64
	Finished   atomic.Int64
	Declined   atomic.Int64
	Unknown    atomic.Int64
	Failed     atomic.Int64
	Cut        atomic.Int64
	Repeats    atomic.Int64
	Mishaps    atomic.Int64
	Reads      atomic.Int64
	ReadsShort atomic.Int64
	// Copies counts the copies of parts that were offered to cores that recover.
	Copies atomic.Int64
	Stale  atomic.Int64
	Stalls atomic.Int64
	// Early counts requests declined at once, since their turn would come too late.
	Early atomic.Int64
	// ClaimsUnheard counts one-shot requests whose key no majority of cores could keep.
	ClaimsUnheard atomic.Int64
}

// Follower is told what is put in force at a router.
type Follower interface {
	// Configure takes a configuration, Enlist the engines and how many routers there are.
	Configure(configuration.View)
	Enlist(catalogue.View, int)
	// Busy tells what engines were asked to do for this router.
	Busy() []catalogue.Work
	// Tally is what it counts, for operators.
	Tally() map[string]int64
	// Histograms are what it measures, for operators.
	Histograms() []prometheus.Collector
	// Live counts the calls under way at engines of regions under notice.
	Live() map[string]int
	// Doubt tells that an engine did not answer another router.
	Doubt(service, life string)
}

// Router is one data-plane daemon.
type Router struct {
	Settings
	Counters
	machine.Machine
	clock  *schedule.Clock
	meter  *hall.Meter
	inner  *circuit.Inner
	gossip *sibling.Gossip
	gate   *Gate
	client *http.Client
	keys   *relay.Keys
	clerks clerks
	// claimant names this life of the router in its claims, unlike any other.
	claimant uint64
	view     atomic.Pointer[configuration.View]
	// first decides when a configuration may be put in force for the first time; one that
	// may not yet is held. Putting is held while that is done, so that nothing falls.
	first   *First
	held    *configuration.View
	putting sync.Mutex
	seats   []atomic.Pointer[part.Bindings]
	lock    sync.Mutex
	tables  map[string]*catalogue.Table
	repeats map[string]*relay.Repeats
	queues  map[string]*atomic.Int64
	stopped atomic.Bool
	turn    atomic.Uint32
	// mending is held while a state is fetched, so that it is fetched once.
	mending  sync.Mutex
	follower Follower
	board    notice.Board
	doubts   doubts
	running  sync.WaitGroup
}

// New makes a router from checked settings.
func New(settings Settings, incarnation uint64, network circuit.Network) (*Router, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	router := &Router{
		Settings: settings,
		Machine: machine.Machine{
			Name: settings.Place.Name, Role: machine.Router, Hall: settings.Place.Hall,
			Inner: settings.Inner.Inner, Public: settings.Place.Public, Incarnation: incarnation,
		},
		clock: circuit.NewClock(network), meter: hall.NewMeter(settings.Place.Hall), keys: relay.NewKeys(),
		claimant: rand.Uint64(), clerks: clerks{desks: map[desk]*clerk{}, told: map[desk]uint64{}},
		tables: map[string]*catalogue.Table{}, repeats: map[string]*relay.Repeats{}, queues: map[string]*atomic.Int64{}, seats: make([]atomic.Pointer[part.Bindings], settings.Parts),
	}
	router.inner = circuit.NewInner(settings.Fleet, router.meter, network)
	router.client = &http.Client{Transport: circuit.NewTransport(circuit.Options{Network: network, Meter: router.meter})}
	view := sibling.NewView(router.Machine, 8, 4, incarnation)
	store := news.NewStore(core.Advance, router.install)
	router.gossip = sibling.NewGossip(view, store, router.inner, settings.Seeds)
	router.doubts.told = map[Doubt]schedule.Microseconds{}
	router.serveKeys()
	router.serveDoubts()
	router.first = NewFirst(router.clock.Now(), settings.Group())
	router.gate = NewGate(schedule.Microseconds(settings.Fresh)*schedule.Millisecond, settings.Parts, settings.Group())
	return router, nil
}

// SetSeeds takes other seeds, as the settings name them now.
func (r *Router) SetSeeds(seeds []string) { r.gossip.SetSeeds(seeds) }

// Follow has a follower told of all that is put in force, before Run.
func (r *Router) Follow(follower Follower) { r.follower = follower }

// install puts a newer state in force here.
func (r *Router) install(item news.Item) {
	now := r.clock.Now()
	bindings, capture, read := part.Unpack(item.Data)
	if !read || item.Part < 0 || item.Part >= len(r.seats) {
		return
	}
	r.seats[item.Part].Store(&bindings)
	if item.Part == 0 {
		state := configuration.NewState()
		state.Restore(capture)
		view := state.View()
		r.board.Put(now, view.Notices)
		r.put(&view)
		return
	}
	view, read := catalogue.Read(capture)
	if !read {
		return
	}
	for _, engine := range view.Engines {
		r.meter.Know(engine.Address, engine.Hall)
	}
	if r.follower != nil {
		r.follower.Enlist(view, len(view.Routers()))
		return
	}
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	for service := range services {
		r.table(service).Update(now, view)
	}
}

func (r *Router) enforce(view *configuration.View) {
	r.view.Store(view)
	if r.follower != nil {
		r.follower.Configure(*view)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, table := range r.tables {
		table.Evacuate(r.gone(view))
	}
}

func (r *Router) table(service string) *catalogue.Table {
	r.lock.Lock()
	defer r.lock.Unlock()
	table, known := r.tables[service]
	if !known {
		table = catalogue.NewTable(service, r.Machine.Name)
		if view := r.view.Load(); view != nil {
			table.Evacuate(r.gone(view))
		}
		r.tables[service] = table
	}
	return table
}

func (r *Router) accounts(tenant, service string) (*relay.Repeats, *atomic.Int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	repeats, known := r.repeats[tenant]
	if !known {
		repeats = &relay.Repeats{}
		r.repeats[tenant] = repeats
	}
	queue, known := r.queues[service]
	if !known {
		queue = &atomic.Int64{}
		r.queues[service] = queue
	}
	return repeats, queue
}

// Run serves until the context ends; then it takes no new work, lets streams
// finish within the grace, and returns.
func (r *Router) Run(parent context.Context, listeners core.Listeners) error {
	serving, stop := context.WithCancel(context.WithoutCancel(parent))
	defer stop()
	ended := make(chan error, 2)
	go func() { ended <- circuit.Serve(serving, listeners.Inner, r.inner, schedule.Second) }()
	go func() { ended <- circuit.Serve(serving, listeners.Public, r.public(), schedule.Second) }()
	go r.gossip.Run(serving)
	r.clerks.begin(serving)
	go r.watch(serving)
	log.Info().Str("router", r.Machine.Name).Msg("router runs")
	select {
	case err := <-ended:
		return err
	case <-parent.Done():
	}
	r.stopped.Store(true)
	log.Info().Str("router", r.Machine.Name).Msg("router takes no new work")
	quiet := make(chan struct{})
	go func() { r.running.Wait(); close(quiet) }()
	waiting, cancel := context.WithTimeout(context.Background(), (schedule.Microseconds(r.Grace) * schedule.Millisecond).Duration())
	defer cancel()
	select {
	case <-quiet:
	case <-waiting.Done():
	}
	stop()
	<-ended
	<-ended
	return nil
}
