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
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

const (
	readInterval = 300 * clock.Millisecond
	readTimeout  = 600 * clock.Millisecond
)

// sharedStateCache makes each state once for all hollow routers: the steps and their base are
// the same for all of them, so the bytes are, too.
type sharedStateCache struct {
	lock   sync.Mutex
	states map[[3]uint64][]byte
}

func (s *sharedStateCache) applySteps(shard int, data []byte, steps []gossip.Entry, revision uint64) ([]byte, bool) {
	key := [3]uint64{uint64(shard), steps[0].Index, revision}
	s.lock.Lock()
	defer s.lock.Unlock()
	if state, known := s.states[key]; known {
		return state, true
	}
	state, fits := shardstate.ApplyEntries(shard, data, steps, revision)
	if !fits {
		return nil, false
	}
	if len(s.states) > 64 {
		clear(s.states)
	}
	s.states[key] = state
	return state, true
}

// simulatedRouter is a router without callers: it reads heads, takes part in the news and the view
// of siblings, and holds the state without putting it in force.
type simulatedRouter struct {
	node.Node
	meter         *topology.TrafficMeter
	client        *transport.Internal
	gossip        *peers.Gossip
	seeds         []string
	servedTraffic servedTraffic
	revisions     [2]atomic.Uint64
	headsRead     atomic.Int64
	softReports   atomic.Int64
	clock         *clock.Clock
	startedAt     clock.Microseconds
	completeAfter atomic.Int64
}

func newSimulatedRouter(environment Environment, number int, zone string, seeds []string, stateCache *sharedStateCache) (*simulatedRouter, net.Listener, error) {
	name := fmt.Sprintf("hollow-%d", number)
	network := environment.Network(name)
	listener, err := network.Listen(environment.Address(name, "inner"))
	if err != nil {
		return nil, nil, err
	}
	created := &simulatedRouter{
		Node: node.Node{
			Name: name, Role: node.RoleRouter, Hall: zone, Inner: listener.Addr().String(),
			Public: listener.Addr().String(), Incarnation: settings.NewIncarnation(),
		},
		meter: topology.NewTrafficMeter(zone), seeds: seeds, clock: clock.New(),
	}
	created.startedAt = created.clock.Now()
	created.client = transport.NewInternal("coursepass", created.meter, network)
	view := peers.NewView(created.Node, 8, 4, created.Incarnation)
	created.gossip = peers.NewGossip(view, gossip.NewStore(stateCache.applySteps, created.installUpdate), created.client, seeds)
	return created, newCountingListener(listener, &created.servedTraffic), nil
}

func (s *simulatedRouter) installUpdate(update gossip.Update) {
	if update.Part < len(s.revisions) {
		s.revisions[update.Part].Store(update.Sequence)
	}
	if s.revisions[0].Load() > 0 && s.revisions[1].Load() > 0 {
		s.completeAfter.CompareAndSwap(0, int64(s.clock.Now()-s.startedAt))
	}
}

func (s *simulatedRouter) run(ctx context.Context, listener net.Listener, group *sync.WaitGroup) {
	group.Go(func() { _ = transport.Serve(ctx, listener, s.client, clock.Millisecond) })
	group.Go(func() { s.gossip.Run(ctx) })
	group.Go(func() {
		iteration := 0
		step := func() {
			iteration++
			soft := iteration%3 == 1
			for _, seed := range s.seeds {
				group.Go(func() { s.readHeads(ctx, seed, soft) })
			}
		}
		step()
		clock.Every(ctx, readInterval, step)
	})
}

func (s *simulatedRouter) readHeads(ctx context.Context, seed string, soft bool) {
	request := &controlapi.HeadsRequest{From: s.Node, Soft: soft}
	target := transport.Target{Address: seed, Procedure: controlapi.HeadsPath, Timeout: readTimeout}
	response, _ := transport.Call[controlapi.HeadsRequest, controlapi.HeadsResponse](ctx, s.client, target, request)
	if response == nil {
		return
	}
	s.headsRead.Add(1)
	s.softReports.Add(int64(len(response.Soft)))
	for _, head := range response.Parts {
		if update, known := s.gossip.Get(head.Part); head.Current && (!known || update.Sequence < head.Sequence) {
			s.gossip.Repair(ctx, seed)
			return
		}
	}
}

// servedTraffic counts what comes in and goes out over circuits that others have begun.
type servedTraffic struct{ conns, bytes atomic.Int64 }

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

// Accept counts a circuit.
func (c countingListener) Accept() (net.Conn, error) {
	accepted, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.traffic.conns.Add(1)
	return countingConn{accepted, c.traffic}, nil
}

// Read counts what comes in.
func (c countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.bytes.Add(int64(count))
	return count, err
}

// Write counts what goes out.
func (c countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.traffic.bytes.Add(int64(count))
	return count, err
}
