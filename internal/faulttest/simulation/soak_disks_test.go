package simulation

import (
	"flag"
	"fmt"
	"testing"

	"coursepass/internal/clock"
)

var diskSeeds = flag.Uint64("disk-seeds", 18, "number of seeds of lost disks, for each size of the group")

// Disks are lost one after the other, each as soon as the last one has caught up, among
// crashes, freezes, cuts, loss and slow links: acknowledged lines stay, books agree, each
// round has one owner, orders of two holders keep their distance.
func TestLostDisksAmongMixedFailures(test *testing.T) {
	for _, slots := range []int{3, 5} {
		test.Run(fmt.Sprint(slots), func(test *testing.T) {
			test.Parallel()
			lost := 0
			for seed := range *diskSeeds {
				soak := NewSoakOf(seed, slots)
				soak.FailDisks()
				if violations := soak.Run(40 * schedule.Second); len(violations) > 0 {
					test.Errorf("seed %d: %v", seed, violations)
				}
				for _, each := range soak.Cores {
					lost += each.wipes
				}
			}
			test.Logf("%d seeds, %d disks lost", *diskSeeds, lost)
			if lost < int(*diskSeeds) {
				test.Errorf("only %d disks were lost", lost)
			}
		})
	}
}
