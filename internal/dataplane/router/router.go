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
	"coursepass/internal/controlplane/shardstate"
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
	settings.Common
	settings.Internal
	DrainTimeoutMillis int `long:"grace-ms" description:"how long running streams may go on after a polite stop" default:"9000"`
	StreamIdleMillis   int `long:"silence-ms" description:"how long a stream may fall silent before it is given up" default:"1000"`
	//lint:ignore SA5008 go-flags reads a repeated choice tag as a list
	GateMode           string `long:"gate" description:"strict: without a fresh majority read no new work is taken; open: what is in force here is served on, and first of all what any core has committed" choice:"strict" choice:"open" default:"strict"`
	MaxStalenessMillis int    `long:"fresh-ms" description:"how old the last majority read may be before no new work is taken" default:"1600"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	if err := s.Common.Check(); err != nil {
		return err
	}
	if s.MaxStalenessMillis < 600 || s.MaxStalenessMillis > 1900 {
		return invalidSetting("--fresh-ms: %d is not between 600 and 1900", s.MaxStalenessMillis)
	}
	if s.StreamIdleMillis < 100 || s.StreamIdleMillis > 60_000 {
		return invalidSetting("--silence-ms: %d is not between 100 and 60000", s.StreamIdleMillis)
	}
	if s.DrainTimeoutMillis < 0 || s.DrainTimeoutMillis > 600_000 {
		return invalidSetting("--grace-ms: %d is not between 0 and 600000", s.DrainTimeoutMillis)
	}
	return s.Internal.Check()
}

// Counters are a router's counters.
type Counters struct {
	Received                    atomic.Int64
	Admitted                    atomic.Int64
	Completed                   atomic.Int64
	Rejected                    atomic.Int64
	Unknown                     atomic.Int64
	Failed                      atomic.Int64
	Truncated                   atomic.Int64
	Retries                     atomic.Int64
	EngineFailures              atomic.Int64
	FreshnessReads              atomic.Int64
	FreshnessReadsWithoutQuorum atomic.Int64
	// SnapshotsOffered counts the copies of parts that were offered to cores that recover.
	SnapshotsOffered atomic.Int64
	StaleRejections  atomic.Int64
	Stalls           atomic.Int64
	// EarlyRejections counts requests declined at once, since their turn would come too late.
	EarlyRejections atomic.Int64
	// ReservationsWithoutQuorum counts one-shot requests whose key no majority of cores could keep.
	ReservationsWithoutQuorum atomic.Int64
}

// DataPlane is told what is put in force at a router.
type DataPlane interface {
	// Configure takes a configuration, Enlist the engines and how many routers there are.
	Configure(config.View)
	UpdateEngines(registry.View, int)
	// BusyTime tells what engines were asked to do for this router.
	BusyTime() []registry.BusyTime
	// CounterValues is what it counts, for operators.
	CounterValues() map[string]int64
	// Collectors are what it measures, for operators.
	Collectors() []prometheus.Collector
	// PendingCalls counts the calls under way at engines of regions under notice.
	PendingCalls() map[string]int
	// HandleSuspect tells that an engine did not answer another router.
	HandleSuspect(service, incarnation string)
}

// Router is one data-plane daemon.
type Router struct {
	Settings
	Counters
	node.Node
	clock              *clock.Clock
	meter              *topology.TrafficMeter
	internal           *transport.Internal
	gossip             *peers.Gossip
	freshnessGate      *FreshnessGate
	engineClient       *http.Client
	idempotencyKeys    *lifecycle.KeyTable
	reservationSenders senderTable
	// reserverID names this life of the router in its claims, unlike any other.
	reserverID uint64
	configView atomic.Pointer[config.View]
	// bootstrap decides when a configuration may be put in force for the first time; one that
	// may not yet is held. Putting is held while that is done, so that nothing falls.
	bootstrap      *Bootstrap
	pendingConfig  *config.View
	activationLock sync.Mutex
	memberships    []atomic.Pointer[consensus.Membership]
	lock           sync.Mutex
	engineTables   map[string]*registry.Table
	retryBudgets   map[string]*lifecycle.RetryBudget
	queueDepths    map[string]*atomic.Int64
	stopped        atomic.Bool
	readCursor     atomic.Uint32
	// repairLock is held while a state is fetched, so that it is fetched once.
	repairLock  sync.Mutex
	dataPlane   DataPlane
	maintenance maintenance.Tracker
	suspects    suspectLog
	inFlight    sync.WaitGroup
}

// New makes a router from checked settings.
func New(cfg Settings, incarnation uint64, network transport.Network) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	router := &Router{
		Settings: cfg,
		Node: node.Node{
			Name: cfg.Common.Name, Role: node.RoleRouter, Hall: cfg.Common.Zone,
			Inner: cfg.Internal.InternalAddress, Public: cfg.Common.Public, Incarnation: incarnation,
		},
		clock: transport.NewClock(network), meter: topology.NewTrafficMeter(cfg.Common.Zone), idempotencyKeys: lifecycle.NewKeyTable(),
		reserverID: rand.Uint64(), reservationSenders: senderTable{senders: map[shardMember]*reservationSender{}, restored: map[shardMember]uint64{}},
		engineTables: map[string]*registry.Table{}, retryBudgets: map[string]*lifecycle.RetryBudget{}, queueDepths: map[string]*atomic.Int64{}, memberships: make([]atomic.Pointer[consensus.Membership], cfg.Shards),
	}
	router.internal = transport.NewInternal(cfg.Fleet, router.meter, network)
	router.engineClient = &http.Client{Transport: transport.NewHTTPTransport(transport.Options{Network: network, Meter: router.meter})}
	peerView := peers.NewView(router.Node, 8, 4, incarnation)
	store := gossip.NewStore(shardstate.ApplyEntries, router.installUpdate)
	router.gossip = peers.NewGossip(peerView, store, router.internal, cfg.Seeds)
	router.suspects.reportedAt = map[Suspect]clock.Microseconds{}
	router.registerKeyOutcomeHandler()
	router.registerSuspectHandler()
	router.bootstrap = NewBootstrap(router.clock.Now(), cfg.ShardReplicas())
	router.freshnessGate = NewFreshnessGate(clock.Microseconds(cfg.MaxStalenessMillis)*clock.Millisecond, cfg.Shards, cfg.ShardReplicas())
	return router, nil
}

// SetSeeds takes other seeds, as the settings name them now.
func (r *Router) SetSeeds(seeds []string) { r.gossip.SetSeeds(seeds) }

// SetDataPlane has a follower told of all that is put in force, before Run.
func (r *Router) SetDataPlane(dataPlane DataPlane) { r.dataPlane = dataPlane }

// installUpdate puts a newer state in force here.
func (r *Router) installUpdate(update gossip.Update) {
	now := r.clock.Now()
	membership, snapshot, ok := consensus.DecodeSnapshot(update.Data)
	if !ok || update.Part < 0 || update.Part >= len(r.memberships) {
		return
	}
	r.memberships[update.Part].Store(&membership)
	if update.Part == 0 {
		state := config.NewState()
		state.Restore(snapshot)
		view := state.View()
		r.maintenance.Update(now, view.Notices)
		r.offerConfig(&view)
		return
	}
	view, ok := registry.DecodeView(snapshot)
	if !ok {
		return
	}
	for _, engine := range view.Engines {
		r.meter.SetZone(engine.Address, engine.Hall)
	}
	if r.dataPlane != nil {
		r.dataPlane.UpdateEngines(view, len(view.Routers()))
		return
	}
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	for service := range services {
		r.engineTable(service).Update(now, view)
	}
}

func (r *Router) activateConfig(view *config.View) {
	r.configView.Store(view)
	if r.dataPlane != nil {
		r.dataPlane.Configure(*view)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, table := range r.engineTables {
		table.SetEvacuatedZones(r.drainingZones(view))
	}
}

func (r *Router) engineTable(service string) *registry.Table {
	r.lock.Lock()
	defer r.lock.Unlock()
	table, ok := r.engineTables[service]
	if !ok {
		table = registry.NewTable(service, r.Node.Name)
		if view := r.configView.Load(); view != nil {
			table.SetEvacuatedZones(r.drainingZones(view))
		}
		r.engineTables[service] = table
	}
	return table
}

func (r *Router) budgetAndQueue(tenant, service string) (*lifecycle.RetryBudget, *atomic.Int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	retryBudget, ok := r.retryBudgets[tenant]
	if !ok {
		retryBudget = &lifecycle.RetryBudget{}
		r.retryBudgets[tenant] = retryBudget
	}
	queue, ok := r.queueDepths[service]
	if !ok {
		queue = &atomic.Int64{}
		r.queueDepths[service] = queue
	}
	return retryBudget, queue
}

// Run serves until the context ends; then it takes no new work, lets streams
// finish within the grace, and returns.
func (r *Router) Run(parent context.Context, listeners controlplane.Listeners) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(parent))
	defer stop()
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- transport.Serve(serveCtx, listeners.Internal, r.internal, clock.Second) }()
	go func() { serveErrors <- transport.Serve(serveCtx, listeners.Public, r.publicHandler(), clock.Second) }()
	go r.gossip.Run(serveCtx)
	r.reservationSenders.start(serveCtx)
	go r.runFreshnessReads(serveCtx)
	log.Info().Str("router", r.Node.Name).Msg("router runs")
	select {
	case err := <-serveErrors:
		return err
	case <-parent.Done():
	}
	r.stopped.Store(true)
	log.Info().Str("router", r.Node.Name).Msg("router takes no new work")
	drained := make(chan struct{})
	go func() { r.inFlight.Wait(); close(drained) }()
	drainCtx, cancel := context.WithTimeout(context.Background(), (clock.Microseconds(r.DrainTimeoutMillis) * clock.Millisecond).Duration())
	defer cancel()
	select {
	case <-drained:
	case <-drainCtx.Done():
	}
	stop()
	<-serveErrors
	<-serveErrors
	return nil
}
