package controlplane

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane/capacityorder"
	"coursepass/internal/controlplane/leadertasks"
	"coursepass/internal/controlplane/membership"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/controlplane/pause"
	"coursepass/internal/controlplane/replication"
	"coursepass/internal/controlplane/reservations"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/controlplane/singleton"
	"coursepass/internal/controlplane/usageledger"
	"coursepass/internal/controlplane/usagereport"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/metrics/resources"
	"coursepass/internal/node"
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

const (
	// minReservedDiskBytes is the minimum disk space in bytes that is reserved for compacting the log.
	minReservedDiskBytes = 1 << 20
	// peerViewSize is the maximum number of peers that gossip keeps in its view, and peerShuffleSize is the maximum
	// number of peers that one shuffle exchanges.
	peerViewSize    = 8
	peerShuffleSize = 4
	// shutdownTimeout is the maximum time that calls in progress may take to finish when the server stops.
	shutdownTimeout = clock.Second
)

// Server is one control-plane server. The package comment lists its parts.
type Server struct {
	Settings
	serverCounters
	node.Node
	self  consensus.Member
	clock *clock.Clock
	// trueTime estimates the true time from the wall clocks of many daemons.
	trueTime          *timesync.Clock
	meter             *topology.TrafficMeter
	internalTransport *transport.Internal
	wal               *wal.Log
	reservationLog    *idempotency.Log
	reservations      *reservations.Service
	membership        *membership.Service
	gossip            *peers.Gossip
	maintenance       maintenance.Tracker
	pauseDetector     pause.Detector
	// reportedHeads are the heads of shards that members have reported.
	reportedHeads reportedHeads
	// usageLedger and usageReport are nil unless usage is enabled.
	usageLedger *usageledger.Service
	usageReport *usagereport.Task
	// runContext is the context of Run, for work that outlives the call that caused it. Run sets it before it starts
	// any task.
	runContext     context.Context
	shards         []*replication.ShardReplica
	serviceLeaders []*leadertasks.ServiceLeader
	// singletonRunners and serviceLeaders have one element for each service shard, in order.
	singletonRunners []*singleton.Runner
	// engineStates are the state machines of the service shards, in order. Only the loop of a shard may access the
	// state machine of the shard.
	engineStates  []*registry.State
	capacityTasks []*capacityorder.Task
	// configuration is the state machine of shard 0. Only the loop of shard 0 may access it.
	configuration *config.State
	// expansionSemaphore admits one evaluation of a configuration document at a time.
	expansionSemaphore chan struct{}
	// nextMember counts the choices of a member to forward a request to. It selects the members in round-robin order.
	nextMember atomic.Uint32

	// lock guards senders and routers.
	lock sync.Mutex
	// senders is keyed by address, and routers is keyed by name.
	senders map[string]*messaging.Sender
	routers map[string]routerRecord
}

// New creates a server and reads its log. It returns an error if the settings are invalid. The incarnation must be
// greater than the incarnation of any earlier process of this server.
func New(serverSettings Settings, incarnation uint64, network transport.Network) (*Server, error) {
	if err := serverSettings.Check(); err != nil {
		return nil, err
	}
	writeAheadLog, err := openLog(serverSettings, network)
	if err != nil {
		return nil, err
	}
	reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, serverSettings.DataDirectory)
	// A damaged log shows that this server was part of the fleet before, so this is not the first start.
	serverSettings.FirstStart = serverSettings.FirstStart && !writeAheadLog.DataLost()
	server := &Server{
		Settings: serverSettings,
		Node: node.Node{
			Name:            serverSettings.Name,
			Role:            node.RoleControlPlane,
			Zone:            serverSettings.Zone,
			InternalAddress: serverSettings.InternalAddress,
			PublicAddress:   serverSettings.Public,
			Incarnation:     incarnation,
		},
		clock:              transport.NewClock(network),
		meter:              topology.NewTrafficMeter(serverSettings.Zone),
		wal:                writeAheadLog,
		reservationLog:     reservationLog,
		configuration:      config.NewState(),
		expansionSemaphore: make(chan struct{}, 1),
		senders:            map[string]*messaging.Sender{},
		routers:            map[string]routerRecord{},
	}
	server.trueTime = timesync.NewClock(serverSettings.InternalAddress, server.clock, transport.NewWallClock(network))
	server.internalTransport = transport.NewInternal(serverSettings.Fleet, server.meter, network)
	view := peers.NewView(server.Node, peerViewSize, peerShuffleSize, incarnation)
	store := gossip.NewStore(shardstate.Decode, nil)
	server.gossip = peers.NewGossip(peers.Options{
		View:      view,
		Store:     store,
		Transport: server.internalTransport,
		TrueTime:  server.trueTime,
		Seeds:     serverSettings.Seeds,
	})
	server.self = newMember(server.Node, string(writeAheadLog.State().Identity))
	server.addShards()
	server.registerInternalHandlers()
	server.membership = newMembershipService(server)
	server.reservations = newReservationService(server)
	return server, nil
}

func openLog(serverSettings Settings, network transport.Network) (*wal.Log, error) {
	simulatedDisk, _ := network.(wal.Disk)
	options := wal.Options{
		Directory:        serverSettings.DataDirectory,
		RewriteThreshold: int64(serverSettings.CompactionMiB) * bytesPerMiB,
		Disk:             simulatedDisk,
	}
	if !serverSettings.NonMember {
		options.ReservedSpace = minReservedDiskBytes
	}
	return wal.Open(options)
}

// newMember returns the server as a consensus member. The identity is the one stored in the data directory. A new data
// directory gets a random identity, which Run writes to the log.
func newMember(self node.Node, identity string) consensus.Member {
	if identity == "" {
		identity = rand.Text()
	}
	return consensus.Member{Identity: identity, Name: self.Name, Address: self.InternalAddress, Zone: self.Zone}
}

// addShards creates the replicas of all shards: shard 0 with the configuration, and the service shards with the
// registries of engines.
func (s *Server) addShards() {
	s.addShard(s.configuration)
	for range s.Shards - 1 {
		engines := registry.NewState()
		shard := s.addShard(engines)
		s.serviceLeaders = append(s.serviceLeaders, newServiceLeader(s, shard, engines))
		s.engineStates = append(s.engineStates, engines)
		s.singletonRunners = append(s.singletonRunners, newSingletonRunner(s, shard, engines))
	}
}

// addShard creates the replica of the next shard.
func (s *Server) addShard(state shardstate.StateMachine) *replication.ShardReplica {
	shard := replication.NewShardReplica(replication.Options{
		Server:         shardHost{s},
		Shard:          len(s.shards),
		StateMachine:   state,
		Self:           s.self,
		Clock:          s.clock,
		Log:            s.wal,
		ReservationLog: s.reservationLog,
		Seeds:          s.Seeds,
		Slots:          s.ShardReplicas(),
		Delta:          s.DeltaDuration(),
		LeaseDuration:  s.LeaseDuration(),
		Incarnation:    s.Incarnation,
		JoinExisting:   s.JoinExisting,
		FirstStart:     s.FirstStart,
		NonMember:      s.NonMember,
	})
	s.shards = append(s.shards, shard)
	return shard
}

// SetSeeds replaces the seeds that the server contacts while it knows no peer. It does not change any membership.
func (s *Server) SetSeeds(seeds []string) { s.gossip.SetSeeds(seeds) }

// Run serves until the context ends or one of its tasks fails, and returns the first failure. It must be called at most
// once.
func (s *Server) Run(parent context.Context, listeners transport.Listeners) error {
	tasks, ctx := errgroup.WithContext(clock.CountWakeups(parent, &s.meter.Resources.LoopWakeups))
	s.runContext = ctx
	defer s.reservationLog.Close()
	isNew := len(s.wal.State().Identity) == 0
	identity := wal.Record{Kind: wal.RecordIdentity, Entry: wal.Entry{Data: []byte(s.self.Identity)}}
	s.wal.Append([]wal.Record{identity}, func() {})

	start := func(task func(context.Context)) {
		tasks.Go(func() error {
			task(ctx)
			return nil
		})
	}
	tasks.Go(func() error { return s.wal.Run(ctx) })
	for _, shard := range s.shards {
		start(shard.Run)
	}
	start(s.recordTicks)
	start(s.membership.Run)
	start(s.reservations.Run)
	tasks.Go(func() error {
		listener := transport.MeterListener(listeners.Internal, s.meter, resources.Control)
		return transport.Serve(ctx, listener, s.internalTransport, shutdownTimeout)
	})
	tasks.Go(func() error {
		listener := transport.MeterListener(s.ListenToCallers(listeners.Public), s.meter, resources.Control)
		handler := transport.CountServed(s.meter, resources.ProcedureOperators, s.HandleCallers(s.publicHandler()))
		return transport.Serve(ctx, listener, handler, shutdownTimeout)
	})
	start(s.gossip.Run)
	start(s.recordMaintenancePhases)
	start(s.resourceReporter().Run)
	for _, leader := range s.serviceLeaders {
		start(leader.Run)
	}
	for _, runner := range s.singletonRunners {
		start(runner.Run)
	}
	log.Info().Str("server", s.Name).Str("identity", s.self.Identity).Bool("new", isNew).Msg("server started")
	return tasks.Wait()
}

// recordTicks records ticks in the pause detector until the context ends.
func (s *Server) recordTicks(ctx context.Context) {
	clock.Every(ctx, pause.CheckInterval, func() { s.pauseDetector.RecordTick(s.clock.Now()) })
}

// Discard closes the files of a server that was never run.
func (s *Server) Discard() {
	s.wal.Close()
	s.reservationLog.Close()
}

func (s *Server) registerInternalHandlers() {
	s.registerMessageHandler()
	s.registerRouterHandlers()
	s.registerForwardingHandler()
}
