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
	// peerViewCapacity is the maximum number of other daemons in a router's partial view of the fleet.
	peerViewCapacity = 8
	// peerShuffleSize is the number of entries of its view that a router exchanges with a peer at once.
	peerShuffleSize = 4
	// configShard is the index of the shard with the configuration. The other shards have the engines.
	configShard = 0
)

// Router is a data-plane daemon.
type Router struct {
	Settings
	Counters
	node.Node
	clock *clock.Clock
	// trueTime estimates the time from the wall clocks of many daemons.
	trueTime *timesync.Clock
	meter    *topology.TrafficMeter
	internal *transport.Internal
	gossip   *peers.Gossip

	// configView is the active configuration, or nil if there is none yet.
	configView atomic.Pointer[config.View]
	// bootstrap decides when the router may activate its first configuration.
	bootstrap *Bootstrap
	// pendingConfig is the latest configuration that may not be activated yet, or nil.
	pendingConfig *config.View
	// activationLock guards pendingConfig. It is held during an activation, so that configurations are
	// activated in order.
	activationLock sync.Mutex
	// memberships has the membership of each shard, or nil if none has been received.
	memberships   []atomic.Pointer[consensus.Membership]
	freshnessGate *FreshnessGate
	// readCursor counts the reads from single members. It selects the member that is asked next.
	readCursor atomic.Uint32
	// repairLock is held while missing state is fetched, so that concurrent reads do not fetch the same
	// state several times.
	repairLock  sync.Mutex
	maintenance maintenance.Tracker
	// dataPlane receives the engines in place of the router's own HTTP interface. It is nil if none has
	// been set.
	dataPlane DataPlane
	suspects  suspectLog
	// usage reports the usage of the data plane's requests. It is nil unless EnableUsage was called.
	usage *usageReporter
	// draining is set once the context of Run has ended. From then on, the router rejects new requests.
	draining atomic.Bool
	// httpHandler is the router's own HTTP interface.
	httpHandler *httpapi.Handler
}

// New returns a router with the given settings, or an error if a setting is invalid. The incarnation
// must differ from the incarnations of all earlier routers with the same name.
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
	router.httpHandler = httpapi.New(httpapi.Options{
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

// SetSeeds replaces the seeds, for example after the settings file has changed.
func (r *Router) SetSeeds(seeds []string) { r.gossip.SetSeeds(seeds) }

// installState installs a newer state of a shard that gossip has received. It ignores the state of an
// unknown shard.
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

// installEngines passes the engines of a shard on to the data plane, or to the router's own HTTP
// interface if no data plane is set.
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
	r.httpHandler.UpdateEngines(view)
}

// Run serves until the context ends. It then rejects new requests, lets running streams finish within
// the drain timeout, and returns nil. If a server stops earlier, Run returns that server's error.
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
	// The reservation senders need their context before the first request can arrive.
	r.httpHandler.Start(serveCtx)
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
	r.drainRequests(serveCtx)
	if r.usage != nil {
		r.usage.sendRemaining(serveCtx)
	}
	stop()
	for range servers {
		<-serveErrors //nolint:errcheck // The servers were stopped on purpose, so their errors have no meaning.
	}
	return nil
}

// drainRequests waits until the running requests have finished or the drain timeout has expired.
func (r *Router) drainRequests(parent context.Context) {
	drainTimeout := clock.Microseconds(r.DrainTimeoutMillis) * clock.Millisecond
	ctx, cancel := context.WithTimeout(parent, drainTimeout.Duration())
	defer cancel()
	if err := r.httpHandler.Drain(ctx); err != nil {
		log.Warn().Str("router", r.Name).Msg("requests are still running at the end of the drain timeout")
	}
}
