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

// gossiper is one daemon that does nothing but gossip.
type gossiper struct {
	*peers.Gossip
	trueTime *timesync.Clock
	internal *transport.Internal
}

func gossiperName(number int) string { return fmt.Sprint("daemon-", number) }

func gossiperAddress(number int) string { return fmt.Sprintf("10.0.0.%d:7300", number) }

func newGossiper(network *simulation.MemoryNetwork, number int) *gossiper {
	host := simulation.Host{MemoryNetwork: network, Name: gossiperName(number)}
	address := gossiperAddress(number)
	self := node.Node{Name: host.Name, Zone: "norte", InternalAddress: address, Incarnation: 1}
	created := &gossiper{trueTime: timesync.NewClock(address, transport.NewClock(host), transport.NewWallClock(host))}
	created.internal = transport.NewInternal("fleet", topology.NewTrafficMeter("norte"), host)
	created.Gossip = peers.NewGossip(peers.Options{
		View:      peers.NewView(self, 8, 4, uint64(number)),
		Store:     gossip.NewStore(decodeBytes, nil),
		Transport: created.internal,
		TrueTime:  created.trueTime,
		Seeds:     []string{gossiperAddress(0)},
	})
	return created
}

// run serves and gossips until the context ends.
func (g *gossiper) run(ctx context.Context, t *testing.T, host simulation.Host, group *sync.WaitGroup) {
	t.Helper()
	listener, err := host.Listen(g.Self.InternalAddress)
	if err != nil {
		t.Fatal(err)
	}
	group.Go(func() { _ = transport.Serve(ctx, listener, g.internal, clock.Millisecond) }) // it ends with the context
	group.Go(func() { g.Run(ctx) })
}

// A daemon learns the true time by gossip, also while its own wall clock and that of another are wrong.
func TestGossip_SpreadsWallClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulation.NewMemoryNetwork(clock.Millisecond)
		network.StepWallClock(gossiperName(1), 5*clock.Second)
		network.StepWallClock(gossiperName(2), -8*clock.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var daemons []*gossiper
		for number := range 6 {
			daemon := newGossiper(network, number)
			host := simulation.Host{MemoryNetwork: network, Name: gossiperName(number)}
			daemon.run(ctx, t, host, &group)
			daemons = append(daemons, daemon)
		}
		time.Sleep(20 * time.Second)
		for number, daemon := range daemons {
			off := daemon.trueTime.Now() - clock.Microseconds(time.Now().UnixMicro())
			if !daemon.trueTime.Estimate().Reliable() || max(off, -off) > 10*clock.Millisecond {
				t.Errorf("daemon %d is off by %v: %+v", number, off, daemon.trueTime.Estimate())
			}
		}
		cancel()
		group.Wait()
		for number := range daemons {
			network.Kill(gossiperName(number))
		}
		time.Sleep(time.Minute)
	})
}
