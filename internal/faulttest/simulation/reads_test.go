package simulation

import (
	"testing"

	"coursepass/internal/clock"
)

// TestReads_ObserveAcknowledgedWrites checks that a read that is answered observes all that was acknowledged
// before it began, under partitions in both and in one direction, and frozen servers.
func TestReads_ObserveAcknowledgedWrites(t *testing.T) {
	answered, failed := 0, 0
	for seed := range uint64(8) {
		network := NewNetwork(NewSimulator(1000+seed), 200, 3*clock.Millisecond)
		cluster := NewCluster(network, 3)
		cluster.Every(40*clock.Millisecond, func() bool {
			for _, server := range cluster.Servers {
				server.Propose()
				server.BeginRead()
			}
			return true
		})
		for range 10 {
			cluster.Heal()
			cluster.Run(cluster.RandomBetween(clock.Second, 3*clock.Second))
			first, second := cluster.Random.IntN(3), cluster.Random.IntN(3)
			switch cluster.Random.IntN(4) {
			case 0:
				cluster.Isolate(first, 3)
			case 1:
				cluster.Partition(first, second)
				cluster.Partition(first, (second+1)%3)
			case 2:
				cluster.Partition(second, first)
				cluster.Partition((second+1)%3, first)
			default:
				cluster.Servers[first].Freeze(cluster.RandomBetween(0, 3*clock.Second))
			}
			cluster.Run(cluster.RandomBetween(0, 3*clock.Second))
		}
		for _, violation := range cluster.Violations {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		answered += cluster.ReadsAnswered
		failed += cluster.ReadsFailed
	}
	if answered < 500 || failed == 0 {
		t.Errorf("%d reads answered, %d failed", answered, failed)
	}
	t.Logf("%d reads answered, %d failed", answered, failed)
}
