package peers_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/timesync"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// gossipDaemon is a daemon that runs only the gossip.
type gossipDaemon struct {
	*peers.Gossip
	trueTime *timesync.Clock
	internal *transport.Internal
}

func daemonName(number int) string { return fmt.Sprint("daemon-", number) }

func daemonAddress(number int) string { return fmt.Sprintf("10.0.0.%d:7300", number) }

func newGossipDaemon(network *simulation.MemoryNetwork, number int) *gossipDaemon {
	host := simulation.Host{MemoryNetwork: network, Name: daemonName(number)}
	address := daemonAddress(number)
	self := node.Node{Name: host.Name, Zone: "norte", InternalAddress: address, Incarnation: 1}
	created := &gossipDaemon{trueTime: timesync.NewClock(address, transport.NewClock(host), transport.NewWallClock(host))}
	created.internal = transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), host)
	created.Gossip = peers.NewGossip(peers.Options{
		View:      peers.NewView(self, 8, 4, uint64(number)),
		Store:     gossip.NewStore(decodeBytes, nil),
		Transport: created.internal,
		TrueTime:  created.trueTime,
		Seeds:     []string{daemonAddress(0)},
	})
	return created
}

// run serves calls and runs the gossip until the context is done.
func (g *gossipDaemon) run(ctx context.Context, t *testing.T, host simulation.Host, group *sync.WaitGroup) {
	t.Helper()
	listener, err := host.Listen(g.Self.InternalAddress)
	if err != nil {
		t.Fatal(err)
	}
	// Serve returns when the context is done.
	group.Go(func() { _ = transport.Serve(ctx, listener, g.internal, clock.Millisecond) })
	group.Go(func() { g.Run(ctx) })
}

// Daemons estimate the true time from the wall clocks in responses to shuffles. On all six daemons the estimate must be
// within 10 ms, although the wall clock of one daemon is 5 s fast and that of another is 8 s slow.
func TestGossip_SpreadsWallClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulation.NewMemoryNetwork(clock.Millisecond)
		network.StepWallClock(daemonName(1), 5*clock.Second)
		network.StepWallClock(daemonName(2), -8*clock.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var daemons []*gossipDaemon
		for number := range 6 {
			daemon := newGossipDaemon(network, number)
			host := simulation.Host{MemoryNetwork: network, Name: daemonName(number)}
			daemon.run(ctx, t, host, &group)
			daemons = append(daemons, daemon)
		}
		time.Sleep(20 * time.Second)
		for number, daemon := range daemons {
			deviation := daemon.trueTime.Now() - clock.Microseconds(time.Now().UnixMicro())
			if !daemon.trueTime.Estimate().Reliable() || max(deviation, -deviation) > 10*clock.Millisecond {
				t.Errorf("the true time of daemon %d is off by %v, want at most 10 ms and a reliable estimate: %+v",
					number, deviation, daemon.trueTime.Estimate())
			}
		}
		cancel()
		group.Wait()
		for number := range daemons {
			network.Kill(daemonName(number))
		}
		time.Sleep(time.Minute)
	})
}
