// Package trial causes failures on purpose: many seeds of the simulation, or a
// fleet of real processes on loopback.
package trial

import (
	"fmt"
	"runtime"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
)

// Simulate runs seeds of the mixed soak.
type Simulate struct {
	First   uint64 `long:"first" description:"first seed" default:"0"`
	Seeds   uint64 `long:"seeds" description:"number of seeds" default:"200"`
	Seconds int    `long:"seconds" description:"virtual seconds of failures a seed" default:"60"`
	Trace   bool   `long:"trace" description:"print what was done, also for seeds that pass"`
}

// Run runs all seeds and prints those that fail, with the command to replay them.
func (s *Simulate) Run() error {
	seeds := make(chan uint64)
	var lock sync.Mutex
	var group sync.WaitGroup
	failed, acked, slowest := 0, 0, schedule.Microseconds(0)
	for range runtime.NumCPU() {
		group.Go(func() {
			for seed := range seeds {
				soak := simulation.NewSoak(seed)
				violations := soak.Run(schedule.Microseconds(s.Seconds) * schedule.Second)
				lock.Lock()
				acked += len(soak.Acked)
				slowest = max(slowest, soak.Stable)
				if len(violations) > 0 {
					failed++
					fmt.Printf("replay with: coursepass-faulttest simulate --trace --seconds %d --seeds 1 --first %d\n", s.Seconds, seed)
				}
				if s.Trace || len(violations) > 0 && failed == 1 {
					fmt.Print(soak.Report())
				}
				lock.Unlock()
			}
		})
	}
	for seed := s.First; seed < s.First+s.Seeds; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	fmt.Printf("%d seeds, %d with violations, %d lines acknowledged, slowest recovery %d ms\n", s.Seeds, failed, acked, slowest/schedule.Millisecond)
	if failed > 0 {
		return mishap.New(mishap.RunFailed, "%d seeds with violations", failed)
	}
	return nil
}
