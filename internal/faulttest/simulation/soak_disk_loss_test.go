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
func TestMixedFaults_WithRepeatedDiskLoss(t *testing.T) {
	for _, slots := range []int{3, 5} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			t.Parallel()
			wipeCount := 0
			for seed := range *diskSeeds {
				soak := NewSoakWithServers(seed, slots)
				soak.EraseDisksRepeatedly()
				if violations := soak.Run(40 * clock.Second); len(violations) > 0 {
					t.Errorf("seed %d: %v", seed, violations)
				}
				for _, server := range soak.Servers {
					wipeCount += server.wipeCount
				}
			}
			t.Logf("%d seeds, %d disks lost", *diskSeeds, wipeCount)
			if wipeCount < int(*diskSeeds) {
				t.Errorf("only %d disks were lost", wipeCount)
			}
		})
	}
}
