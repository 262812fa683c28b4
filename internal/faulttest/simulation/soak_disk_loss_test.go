package simulation

import (
	"flag"
	"fmt"
	"testing"

	"coursepass/internal/clock"
)

var diskSeeds = flag.Uint64("disk-seeds", 18, "number of seeds of lost disks, for each size of the group")

// TestMixedFaults_WithRepeatedDiskLoss has disks lost one after the other, each as soon as the last one has
// caught up, besides crashes, freezes, partitions, message loss and slow links: no acknowledged entry is
// lost, logs agree, each term has one leader, and commands of two leaders are a lease apart.
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
