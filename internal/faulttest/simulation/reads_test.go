package simulation

import (
	"testing"

	"coursepass/internal/clock"
)

// A read that is answered saw all that was acknowledged before it began, through cuts both
// ways and one way, frozen cores, restarts and lost disks.
func TestReadsSeeWhatWasAcknowledged(test *testing.T) {
	answered, lost := 0, 0
	for seed := range uint64(8) {
		network := NewNetwork(NewWorld(1000+seed), 200, 3*schedule.Millisecond)
		group := NewGroup(network, 3)
		group.Every(40*schedule.Millisecond, func() bool {
			for _, core := range group.Cores {
				core.Propose()
				core.BeginRead()
			}
			return true
		})
		for range 10 {
			group.Heal()
			group.World.Run(group.Between(schedule.Second, 3*schedule.Second))
			first, second := group.Chance.IntN(3), group.Chance.IntN(3)
			switch group.Chance.IntN(4) {
			case 0:
				group.Isolate(first, 3)
			case 1:
				group.Cut(first, second)
				group.Cut(first, (second+1)%3)
			case 2:
				group.Cut(second, first)
				group.Cut((second+1)%3, first)
			default:
				group.Cores[first].Freeze(group.Between(0, 3*schedule.Second))
			}
			group.World.Run(group.Between(0, 3*schedule.Second))
		}
		for _, violation := range group.Violations {
			test.Fatalf("seed %d: %s", seed, violation)
		}
		answered, lost = answered+group.Read, lost+group.ReadLost
	}
	if answered < 500 || lost == 0 {
		test.Errorf("%d reads answered, %d lost", answered, lost)
	}
	test.Logf("%d reads answered, %d lost", answered, lost)
}
