package faulttest

import "sync"

// forEachSeed calls a function for each of count seeds, the first one given, in several workers, and
// returns when all are done.
func forEachSeed(first, count uint64, workers int, run func(seed uint64)) {
	seeds := make(chan uint64)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for seed := range seeds {
				run(seed)
			}
		})
	}
	for seed := first; seed < first+count; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
}
