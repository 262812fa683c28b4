package scalebench

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/settings"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// The intervals and sizes of a real router, which the simulated ones have too.
const (
	readInterval = 300 * clock.Millisecond
	readTimeout  = 600 * clock.Millisecond
	// softReadPeriod: each so many reads one asks for soft state.
	softReadPeriod = 3

	activeViewSize  = 8
	passiveViewSize = 4
	simulatedShards = 2
)

// maxCachedStates bounds the cache of states; beyond it all are dropped.
const maxCachedStates = 64

// stateKey identifies a state by the entries that lead to it.
type stateKey struct {
	shard      int
	firstIndex uint64
	revision   uint64
}

// sharedStateCache computes each state once for all simulated routers: the entries and the state before them are
// the same for all of them.
type sharedStateCache struct {
	lock   sync.Mutex
	states map[stateKey]gossip.State
}

// cachedState is a state that is shared by the routers that apply the same entries.
type cachedState struct {
	gossip.State
	shard int
	cache *sharedStateCache
}

// decode decodes the snapshot of a shard's state; false if it is malformed.
func (s *sharedStateCache) decode(shard int, snapshot []byte) (gossip.State, bool) {
	state, valid := shardstate.Decode(shard, snapshot)
	return cachedState{State: state, shard: shard, cache: s}, valid
}

// Apply returns the state after entries; false if they don't lead to the revision.
func (c cachedState) Apply(entries []gossip.Entry, revision uint64) (gossip.State, bool) {
	key := stateKey{shard: c.shard, firstIndex: entries[0].Index, revision: revision}
	c.cache.lock.Lock()
	defer c.cache.lock.Unlock()
	if state, known := c.cache.states[key]; known {
		return state, true
	}
	state, fits := c.State.Apply(entries, revision)
	if !fits {
		return nil, false
	}
	if len(c.cache.states) > maxCachedStates {
		clear(c.cache.states)
	}
	next := cachedState{State: state, shard: c.shard, cache: c.cache}
	c.cache.states[key] = next
	return next, true
}

// simulatedRouter is a router without callers: it reads heads, takes part in the gossip and in the
// peer views, and keeps the state without using it.
type simulatedRouter struct {
	node.Node
	meter         *topology.TrafficMeter
	client        *transport.Internal
	gossip        *peers.Gossip
	seeds         []string
	servedTraffic servedTraffic
	// revisions are those of the state by shard, 0 before there is one.
	revisions   [simulatedShards]atomic.Uint64
	headsRead   atomic.Int64
	softReports atomic.Int64
	clock       *clock.Clock
	startedAt   clock.Microseconds
	// completeAfter is the time from the start until all shards had a state, in microseconds; 0
	// before that.
	completeAfter atomic.Int64
}

// simulatedRouterOptions are what a simulated router is made from.
type simulatedRouterOptions struct {
	environment Environment
	number      int
	zone        string
	seeds       []string
	stateCache  *sharedStateCache
}

// newSimulatedRouter makes a simulated router and opens its socket; the caller calls run.
func newSimulatedRouter(options simulatedRouterOptions) (*simulatedRouter, net.Listener, error) {
	name := fmt.Sprintf("hollow-%d", options.number)
	network := options.environment.Network(name)
	listener, err := network.Listen(options.environment.Address(name, socketInternal))
	if err != nil {
		return nil, nil, err
	}
	address := listener.Addr().String()
	created := &simulatedRouter{
		Node: node.Node{
			Name:            name,
			Role:            node.RoleRouter,
			Zone:            options.zone,
			InternalAddress: address,
			PublicAddress:   address,
			Incarnation:     settings.NewIncarnation(),
		},
		meter: topology.NewTrafficMeter(options.zone),
		seeds: options.seeds,
		clock: clock.New(),
	}
	created.startedAt = created.clock.Now()
	created.client = transport.NewInternal(fleetName, created.meter, network)
	view := peers.NewView(created.Node, activeViewSize, passiveViewSize, created.Incarnation)
	store := gossip.NewStore(options.stateCache.decode, created.installState)
	created.gossip = peers.NewGossip(peers.Options{
		View:      view,
		Store:     store,
		Transport: created.client,
		TrueTime:  timesync.NewClock(address, created.clock, transport.NewWallClock(network)),
		Seeds:     options.seeds,
	})
	return created, newCountingListener(listener, &created.servedTraffic), nil
}

// installState records that a state has come by gossip.
func (s *simulatedRouter) installState(head gossip.Head, _ gossip.State) {
	if head.Shard < len(s.revisions) {
		s.revisions[head.Shard].Store(head.Revision)
	}
	if s.revisions[0].Load() > 0 && s.revisions[1].Load() > 0 {
		s.completeAfter.CompareAndSwap(0, int64(s.clock.Now()-s.startedAt))
	}
}

// run serves, gossips and reads heads in goroutines of the group until the context ends.
func (s *simulatedRouter) run(ctx context.Context, listener net.Listener, group *sync.WaitGroup) {
	group.Go(func() { _ = transport.Serve(ctx, listener, s.client, clock.Millisecond) })
	group.Go(func() { s.gossip.Run(ctx) })
	group.Go(func() {
		iteration := 0
		step := func() {
			iteration++
			soft := iteration%softReadPeriod == 1
			for _, seed := range s.seeds {
				group.Go(func() { s.readHeads(ctx, seed, soft) })
			}
		}
		step()
		clock.Every(ctx, readInterval, step)
	})
}

// readHeads asks a server for the heads of the shards, and fetches a state that is newer than its own.
func (s *simulatedRouter) readHeads(ctx context.Context, seed string, soft bool) {
	request := &controlapi.HeadsRequest{From: s.Node, WantReports: soft}
	// A server that does not answer is asked again at the next interval.
	target := transport.Target{Address: seed, Procedure: controlapi.HeadsPath, Timeout: readTimeout}
	response, _ := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](ctx, s.client, target, request)
	if response == nil {
		return
	}
	s.headsRead.Add(1)
	s.softReports.Add(int64(len(response.EngineReports)))
	for _, head := range response.Heads {
		stored, known := s.gossip.Head(head.Shard)
		if head.Current && (!known || stored.Revision < head.Revision) {
			s.gossip.Repair(ctx, seed)
			return
		}
	}
}

// servedTraffic counts the connections that others have opened, and the bytes over them.
type servedTraffic struct{ conns, bytes atomic.Int64 }

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *servedTraffic
}

type countingConn struct {
	net.Conn
	traffic *servedTraffic
}

func newCountingListener(listener net.Listener, served *servedTraffic) net.Listener {
	return countingListener{listener, served}
}

// Accept accepts and counts a connection.
func (c countingListener) Accept() (net.Conn, error) {
	accepted, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.traffic.conns.Add(1)
	return countingConn{accepted, c.traffic}, nil
}

// Read reads and counts the bytes.
func (c countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.bytes.Add(int64(count))
	return count, err
}

// Write writes and counts the bytes.
func (c countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.traffic.bytes.Add(int64(count))
	return count, err
}
