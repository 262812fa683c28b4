// Package controlplane is the control daemon: it keeps its share of each part on disk,
// takes part in the elections, and does the leader's duties where it leads.
package controlplane

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a core.
type Settings struct {
	settings.Common
	settings.Internal
	settings.Timing
	DataDirectory         string `long:"data" description:"folder of the write-ahead log and its snapshots"`
	ReplaceMember         string `long:"replaces" description:"name of the core that it replaces in the membership, if it is no member; its own name if not given"`
	ForceReplace          bool   `long:"override" description:"replace the member even if it still answers"`
	JoinExisting          bool   `long:"joining" description:"the seeds are only contacted: being at one of their addresses makes this core no member"`
	FirstStart            bool   `long:"first" description:"the fleet starts for the first time, on empty disks: there is nothing to catch up with"`
	NonMember             bool   `long:"non-member" description:"never become a member, only forward requests to members"`
	Standby               bool   `long:"standby" description:"while no member, fill a slot of the membership that is vacant or whose member has not answered for a while, as long as no zone gets too many"`
	DefaultPrefillPercent int    `long:"default-prefill-percent" description:"share of prefill in the work of engines of the directory, while routers report too little; 0 leaves their roles as listed until then"`
	CompactionMiB         int    `long:"compaction-mib" description:"size in MiB at which the write-ahead log is compacted" default:"16"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	for _, check := range []func() error{s.Common.Check, s.Internal.Check, s.Timing.Check} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.DataDirectory == "" {
		return errcode.New(errcode.InvalidSetting, "--data: a core needs a data folder")
	}
	if s.DefaultPrefillPercent < 0 || s.DefaultPrefillPercent > 100 {
		return errcode.New(errcode.InvalidSetting, "--default-prefill-percent: %d is not between 0 and 100", s.DefaultPrefillPercent)
	}
	if s.CompactionMiB < 1 || s.CompactionMiB > 1024 {
		return errcode.New(errcode.InvalidSetting, "--compaction-mib: %d is not between 1 and 1024", s.CompactionMiB)
	}
	return nil
}

// minReservedDiskBytes is the least disk space that is kept free for rewriting the journal.
const minReservedDiskBytes = 1 << 20

// Server is one control daemon.
type Server struct {
	Settings
	senderCounters
	node.Node
	self               consensus.Member
	clock              *clock.Clock
	zoneMeter          *topology.TrafficMeter
	internalTransport  *transport.Internal
	wal                *wal.Log
	reservationLog     *idempotency.Log
	gossip             *peers.Gossip
	senders            map[string]*messageSender
	routers            map[string]routerRecord
	lock               sync.Mutex
	runContext         context.Context
	shards             []*shardReplica
	serviceLeaders     []*serviceLeader
	nextMember         atomic.Uint32
	configuration      *config.State
	expansionSemaphore chan struct{}
	maintenance        maintenance.Tracker
	pauseDetector      pauseDetector
}

// ServiceShard is the part that holds a service's engines.
func ServiceShard(service string, shardCount int) int {
	hash := fnv.New32a()
	hash.Write([]byte(service))
	return 1 + int(hash.Sum32()%uint32(shardCount-1))
}

// New makes a core from checked settings.
func New(serverSettings Settings, incarnation uint64, network transport.Network) (*Server, error) {
	if err := serverSettings.Check(); err != nil {
		return nil, err
	}
	walDisk, _ := network.(wal.Disk)
	options := wal.Options{Directory: serverSettings.DataDirectory, RewriteThreshold: int64(serverSettings.CompactionMiB) << 20, Disk: walDisk}
	if !serverSettings.NonMember {
		options.ReservedSpace = minReservedDiskBytes
	}
	writeAheadLog, err := wal.Open(options)
	if err != nil {
		return nil, err
	}
	reservationLog := idempotency.OpenLog(wal.OSFileSystem{}, serverSettings.DataDirectory)
	// A damaged journal was answered for, so this is no first start.
	serverSettings.FirstStart = serverSettings.FirstStart && !writeAheadLog.DataLost()
	server := &Server{
		Settings: serverSettings,
		Node: node.Node{
			Name: serverSettings.Common.Name, Role: node.RoleControlPlane, Hall: serverSettings.Common.Zone,
			Inner: serverSettings.Internal.InternalAddress, Public: serverSettings.Common.Public, Incarnation: incarnation,
		},
		clock:     transport.NewClock(network),
		zoneMeter: topology.NewTrafficMeter(serverSettings.Common.Zone),
		wal:       writeAheadLog, reservationLog: reservationLog, senders: map[string]*messageSender{}, routers: map[string]routerRecord{}, expansionSemaphore: make(chan struct{}, 1),
	}
	server.internalTransport = transport.NewInternal(serverSettings.Fleet, server.zoneMeter, network)
	view := peers.NewView(server.Node, 8, 4, incarnation)
	server.gossip = peers.NewGossip(view, gossip.NewStore(ApplyEntries, nil), server.internalTransport, serverSettings.Seeds)
	server.self = consensus.Member{Identity: string(writeAheadLog.State().Identity), Name: server.Node.Name, Address: server.Node.Inner, Hall: server.Node.Hall}
	if server.self.Identity == "" {
		server.self.Identity = rand.Text()
	}
	server.configuration = config.NewState()
	for index := range serverSettings.Shards {
		shard := &shardReplica{Loop: clock.NewLoop[func()](server.clock, 1024), server: server, index: index, pendingProposals: map[proposalID]chan []byte{}}
		shard.stateMachine = server.configuration
		if index > 0 {
			engines := registry.NewState()
			shard.stateMachine = engines
			server.serviceLeaders = append(server.serviceLeaders, newServiceLeader(server, shard, engines))
		}
		shard.initialSnapshot = shard.stateMachine.Snapshot()
		server.shards = append(server.shards, shard)
	}
	server.registerInternalHandlers()
	return server, nil
}

func (s *Server) replicaConfig(index, slot int, membership consensus.Membership) consensus.Config {
	leaseDuration := s.LeaseDuration()
	return consensus.Config{
		Shard:           index,
		Config:          election.Config{Slots: s.ShardReplicas(), Self: slot, Delta: s.DeltaDuration()},
		Timing:          lease.Timing{LeaseDuration: leaseDuration, SafetyMargin: leaseDuration / 20},
		RetainedEntries: 256,
		Incarnation:     s.Incarnation,
		LocalMember:     s.self, InitialMembership: membership,
	}
}

// sendMessage sends a message for as long as this core runs: what it answers must not end with
// the call that brought the question.
func (s *Server) sendMessage(message consensus.Message) {
	address := message.Address
	if address == "" {
		address = s.shards[message.Part].membership.Load().Seats[message.To].Address
	}
	if address != "" && address != s.self.Address {
		s.senderFor(address).send(s.runContext, message)
	}
}

func (s *Server) senderFor(address string) *messageSender {
	s.lock.Lock()
	defer s.lock.Unlock()
	peerSender, exists := s.senders[address]
	if !exists {
		peerSender = &messageSender{
			senderCounters: &s.senderCounters, internalTransport: s.internalTransport, clock: s.clock, self: s.self,
			address: address, delta: s.DeltaDuration(), queue: make(chan outboundMessage, 256),
		}
		peerSender.onEcho = func(sentAt clock.Microseconds, echo consensus.Echo) {
			if echo.Part >= 0 && echo.Part < len(s.shards) {
				s.shards[echo.Part].handleEcho(s.runContext, sentAt, address, echo)
			}
		}
		s.senders[address] = peerSender
		go peerSender.run(s.runContext)
	}
	return peerSender
}

// SetSeeds takes other seeds, as the settings name them now. Seats are not moved by it.
func (s *Server) SetSeeds(seeds []string) { s.gossip.SetSeeds(seeds) }

// Listeners are the two sockets of a daemon.
type Listeners struct{ Internal, Public net.Listener }

// Listen opens both sockets of a daemon.
func Listen(network transport.Network, internal, public string) (Listeners, error) {
	listeners := Listeners{}
	var err error
	if listeners.Internal, err = network.Listen(internal); err != nil {
		return listeners, err
	}
	listeners.Public, err = network.Listen(public)
	return listeners, err
}

// Run serves until the context ends; its error is final.
func (s *Server) Run(parent context.Context, listeners Listeners) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	failures := make(chan error, 3)
	var group sync.WaitGroup
	start := func(task func() error) {
		group.Go(func() {
			if err := task(); err != nil {
				failures <- err
				cancel()
			}
		})
	}
	s.runContext = ctx
	defer s.reservationLog.Close()
	newIdentity := len(s.wal.State().Identity) == 0
	s.wal.Append([]wal.Record{{Kind: wal.RecordIdentity, Entry: wal.Entry{Data: []byte(s.self.Identity)}}}, func() {})
	start(func() error { return s.wal.Run(ctx) })
	for _, runner := range s.shards {
		start(func() error { runner.run(ctx); return nil })
	}
	start(func() error {
		clock.Every(ctx, pauseCheckInterval, func() { s.pauseDetector.recordTick(s.clock.Now()) })
		return nil
	})
	start(func() error { s.discoverMembership(ctx); return nil })
	start(func() error { s.rebuildReservations(ctx); return nil })
	start(func() error { return transport.Serve(ctx, listeners.Internal, s.internalTransport, clock.Second) })
	start(func() error { return transport.Serve(ctx, listeners.Public, s.publicHandler(), clock.Second) })
	start(func() error { s.gossip.Run(ctx); return nil })
	start(func() error { s.recordMaintenancePhases(ctx); return nil })
	for _, runner := range s.serviceLeaders {
		start(func() error { runner.run(ctx); return nil })
	}
	log.Info().Str("core", s.Node.Name).Str("identity", s.self.Identity).Bool("new", newIdentity).Msg("core runs")
	group.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

func (s *Server) registerInternalHandlers() {
	transport.Handle(s.internalTransport, deliverPath, func(ctx context.Context, batch *MessageBatch) (*MessageBatchResponse, error) {
		now := s.clock.Now()
		response := &MessageBatchResponse{Incarnation: s.Incarnation, Clock: now}
		age, ageKnown := batch.Age(now, s.Incarnation)
		for _, message := range batch.Messages {
			if message.Part < 0 || message.Part >= len(s.shards) {
				s.internalTransport.MalformedRequests.Add(1)
				continue
			}
			if echo, isMember := s.shards[message.Part].echo(); isMember && message.RequestsEcho() {
				response.Echoes = append(response.Echoes, echo)
			}
			switch {
			case message.Kind == consensus.MsgConfirmLeadership:
			case message.Kind == consensus.MsgElection && (!ageKnown || age > s.DeltaDuration()):
				s.Late.Add(1)
			default:
				s.Received.Add(1)
				message.Sender = batch.Sender
				s.shards[message.Part].receive(ctx, message)
			}
		}
		return response, nil
	})
	s.registerRouterHandlers()
	s.registerForwardingHandler()
	s.registerJoinHandler()
	s.registerReservationHandlers()
}
