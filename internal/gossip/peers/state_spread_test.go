package peers_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
)

// byteState is a state that is its own snapshot. It does not support entries.
type byteState []byte

func decodeBytes(_ int, snapshot []byte) (gossip.State, bool) { return byteState(snapshot), true }

func (b byteState) Apply([]gossip.Entry, uint64) (gossip.State, bool) { return nil, false }

func (b byteState) Snapshot() []byte { return b }

const (
	// largeStateBytes is the size of the state, which is larger than maxPushBytes.
	largeStateBytes = 400 << 10
	// daemonCount is the number of daemons.
	daemonCount = 60
	// maxServedAtOnce is the maximum number of daemons that may receive the state in the first round of requests.
	maxServedAtOnce = daemonCount / 5
)

// stateCount returns the number of daemons that store the state.
func stateCount(daemons []*gossipDaemon) int {
	count := 0
	for _, daemon := range daemons {
		if _, exists := daemon.Head(1); exists {
			count++
		}
	}
	return count
}

// Sixty daemons restart at once and request a large state from the only daemon that has it. That daemon must not send
// the state to all of them at once: it may serve only a few per second, and the other daemons must receive the state
// from those.
func TestGossip_LargeStateSpreadsFromPeerToPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulation.NewMemoryNetwork(clock.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var daemons []*gossipDaemon
		for number := range daemonCount {
			daemon := newGossipDaemon(network, number)
			host := simulation.Host{MemoryNetwork: network, Name: daemonName(number)}
			daemon.run(ctx, t, host, &group)
			daemons = append(daemons, daemon)
		}
		time.Sleep(10 * time.Second)
		source := daemons[0]
		head := gossip.Head{Shard: 1, Index: 1, Revision: 1}
		source.Accept(gossip.Update{Head: head, Data: make([]byte, largeStateBytes)})
		withheld := 0
		for _, daemon := range daemons[1:] {
			if daemon.Repair(ctx, daemonAddress(0)) {
				withheld++
			}
		}
		// These daemons received the state from the source, or meanwhile from another daemon by a periodic comparison.
		if got := daemonCount - 1 - withheld; got < 2 || got > maxServedAtOnce {
			t.Errorf("%d of %d daemons received the state at once, want 2 to %d", got, daemonCount-1, maxServedAtOnce)
		}
		for range 5 {
			for _, daemon := range daemons {
				group.Go(func() { daemon.RepairFromNearPeer(ctx) })
			}
			time.Sleep(time.Second)
		}
		if count := stateCount(daemons); count < daemonCount {
			t.Errorf("%d of %d daemons have the state, want all", count, daemonCount)
		}
		cancel()
		group.Wait()
		for number := range daemons {
			network.Kill(daemonName(number))
		}
		time.Sleep(time.Minute)
	})
}
