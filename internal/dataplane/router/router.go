package router

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/node"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

const (
	// peerViewCapacity is how many other daemons a router knows, and peerShuffleSize how many of
	// them it exchanges with a peer at a time.
	peerViewCapacity = 8
	peerShuffleSize  = 4
	// configShard is the shard with the configuration; the others have the engines.
	configShard = 0
)

// Router is one data-plane daemon.
type Router struct {
	Settings
	Counters
	node.Node
	clock *clock.Clock
	// trueTime is estimated from the wall clocks of many daemons.
	trueTime *timesync.Clock
	meter    *topology.TrafficMeter
	internal *transport.Internal
	gossip   *peers.Gossip

	// configView is the active configuration, nil if there is none yet.
	configView atomic.Pointer[config.View]
	// bootstrap decides when the first configuration may be activated. pendingConfig is one that may
	// not be activated yet. activationLock guards pendingConfig and is held through an activation,
	// so that configurations are activated in order.
	bootstrap      *Bootstrap
	pendingConfig  *config.View
	activationLock sync.Mutex
	// memberships are the memberships by shard, nil where none has been received.
	memberships   []atomic.Pointer[consensus.Membership]
	freshnessGate *FreshnessGate
	// readCursor counts the reads from single members.
	readCursor atomic.Uint32
	// repairLock is held while missing state is fetched, so that it is fetched once.
	repairLock  sync.Mutex
	maintenance maintenance.Tracker
	// dataPlane follows the engines in place of the own interface. It may be nil.
	dataPlane DataPlane
	suspects  suspectLog
	// usage reports what the data plane's requests use. It is nil unless that is enabled.
	usage *usageReporter
	// draining is set once Run takes no new work.
	draining atomic.Bool
	// answers is the router's own interface.
	answers *httpapi.Handler
}

// New makes a router from checked settings. The incarnation must differ from those of all earlier
// routers of the same name.
func New(cfg Settings, incarnation uint64, network transport.Network) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	meter := topology.NewTrafficMeter(cfg.Zone)
	localClock := transport.NewClock(network)
	maxStaleness := clock.Microseconds(cfg.MaxStalenessMillis) * clock.Millisecond
	router := &Router{
		Settings: cfg,
		Node: node.Node{
			Name:            cfg.Name,
			Role:            node.RoleRouter,
			Zone:            cfg.Zone,
			InternalAddress: cfg.InternalAddress,
			PublicAddress:   cfg.Public,
			Incarnation:     incarnation,
		},
		clock:         localClock,
		trueTime:      timesync.NewClock(cfg.InternalAddress, localClock, transport.NewWallClock(network)),
		meter:         meter,
		internal:      transport.NewInternal(cfg.Fleet, meter, network),
		bootstrap:     NewBootstrap(localClock.Now(), cfg.ShardReplicas()),
		memberships:   make([]atomic.Pointer[consensus.Membership], cfg.Shards),
		freshnessGate: NewFreshnessGate(maxStaleness, cfg.Shards, cfg.ShardReplicas()),
		suspects:      newSuspectLog(),
	}
	peerView := peers.NewView(router.Node, peerViewCapacity, peerShuffleSize, incarnation)
	store := gossip.NewStore(shardstate.Decode, router.installState)
	router.gossip = peers.NewGossip(peers.Options{
		View:      peerView,
		Store:     store,
		Transport: router.internal,
		TrueTime:  router.trueTime,
		Seeds:     cfg.Seeds,
	})
	router.answers = httpapi.New(httpapi.Options{
		Node:              router.Node,
		Control:           router,
		Clock:             localClock,
		Meter:             meter,
		Internal:          router.internal,
		Network:           network,
		Seeds:             cfg.Seeds,
		Shards:            cfg.Shards,
		Replicas:          cfg.ShardReplicas(),
		StreamIdleTimeout: clock.Microseconds(cfg.StreamIdleMillis) * clock.Millisecond,
	})
	router.registerSuspectHandler()
	router.registerPlacementHandlers()
	return router, nil
}

// SetSeeds replaces the seeds by those that the settings name now.
func (r *Router) SetSeeds(seeds []string) { r.gossip.SetSeeds(seeds) }

// installState takes a newer state of a shard that gossip has received. That of an unknown shard is ignored.
func (r *Router) installState(head gossip.Head, state gossip.State) {
	published, ok := state.(*shardstate.PublishedState)
	if !ok || head.Shard < 0 || head.Shard >= len(r.memberships) {
		return
	}
	r.memberships[head.Shard].Store(&published.Membership)
	for _, member := range published.Membership.Members {
		r.meter.SetDaemonZone(member.Address, member.Zone)
	}
	if view, ok := published.Configuration(); ok {
		r.installConfig(view)
	}
	if view, ok := published.Engines(); ok {
		r.installEngines(view)
	}
}

// installEngines takes the engines of a shard.
func (r *Router) installEngines(view registry.View) {
	for _, engine := range view.Engines {
		r.meter.SetZone(engine.Address, engine.Zone)
	}
	for _, assignment := range view.Assignments {
		for _, owner := range assignment.PlacementOwners {
			r.meter.SetDaemonZone(owner.Address, owner.Zone)
		}
	}
	if r.dataPlane != nil {
		r.dataPlane.UpdateEngines(view, len(view.Routers()))
		return
	}
	r.answers.UpdateEngines(view)
}

// Run serves until the context ends; then it takes no new work, lets streams finish within the drain
// timeout, and returns. It returns early with the error of a listener that fails.
func (r *Router) Run(parent context.Context, listeners transport.Listeners) error {
	counted := clock.CountWakeups(context.WithoutCancel(parent), &r.meter.Resources.LoopWakeups)
	serveCtx, stop := context.WithCancel(counted)
	defer stop()
	internalListener := transport.MeterListener(listeners.Internal, r.meter, resources.Control)
	publicListener := transport.MeterListener(listeners.Public, r.meter, resources.Data)
	servers := []func() error{
		func() error { return transport.Serve(serveCtx, internalListener, r.internal, clock.Second) },
		func() error { return transport.Serve(serveCtx, publicListener, r.publicHandler(), clock.Second) },
	}
	// The senders have their context before the first request can arrive.
	r.answers.Start(serveCtx)
	serveErrors := make(chan error, len(servers))
	for _, serve := range servers {
		go func() { serveErrors <- serve() }()
	}
	go r.gossip.Run(serveCtx)
	go r.runFreshnessReads(serveCtx)
	if r.usage != nil {
		go r.usage.run(serveCtx)
	}
	go r.resourceReporter().Run(serveCtx)
	log.Info().Str("router", r.Name).Msg("router is running")
	select {
	case err := <-serveErrors:
		return err
	case <-parent.Done():
	}
	r.draining.Store(true)
	log.Info().Str("router", r.Name).Msg("router is draining")
	r.drainAnswers(serveCtx)
	if r.usage != nil {
		r.usage.sendLast(serveCtx)
	}
	stop()
	for range servers {
		<-serveErrors //nolint:errcheck // The servers end because they were stopped.
	}
	return nil
}

// drainAnswers lets running requests finish within the drain timeout.
func (r *Router) drainAnswers(parent context.Context) {
	drainTimeout := clock.Microseconds(r.DrainTimeoutMillis) * clock.Millisecond
	ctx, cancel := context.WithTimeout(parent, drainTimeout.Duration())
	defer cancel()
	r.answers.Drain(ctx)
}
