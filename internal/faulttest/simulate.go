// Package faulttest causes failures on purpose: many seeds of the simulation, or a
// fleet of real processes on loopback.
package faulttest

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
	FirstSeed  uint64 `long:"first" description:"first seed" default:"0"`
	SeedCount  uint64 `long:"seeds" description:"number of seeds" default:"200"`
	Seconds    int    `long:"seconds" description:"virtual seconds of failures a seed" default:"60"`
	PrintTrace bool   `long:"trace" description:"print what was done, also for seeds that pass"`
}

// Run runs all seeds and prints those that fail, with the command to replay them.
func (s *Simulate) Run() error {
	seeds := make(chan uint64)
	var lock sync.Mutex
	var group sync.WaitGroup
	failed, acknowledged, slowest := 0, 0, clock.Microseconds(0)
	for range runtime.NumCPU() {
		group.Go(func() {
			for seed := range seeds {
				soak := simulation.NewSoak(seed)
				violations := soak.Run(clock.Microseconds(s.Seconds) * clock.Second)
				lock.Lock()
				acknowledged += len(soak.Acknowledged)
				slowest = max(slowest, soak.RecoveryTime)
				if len(violations) > 0 {
					failed++
					fmt.Printf("replay with: coursepass-faulttest simulate --trace --seconds %d --seeds 1 --first %d\n", s.Seconds, seed)
				}
				if s.PrintTrace || len(violations) > 0 && failed == 1 {
					fmt.Print(soak.Report())
				}
				lock.Unlock()
			}
		})
	}
	for seed := s.FirstSeed; seed < s.FirstSeed+s.SeedCount; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	fmt.Printf("%d seeds, %d with violations, %d lines acknowledged, slowest recovery %d ms\n", s.SeedCount, failed, acknowledged, slowest/clock.Millisecond)
	if failed > 0 {
		return errcode.New(errcode.ExecutionFailed, "%d seeds with violations", failed)
	}
	return nil
}
