// Package faulttest has the commands that inject faults into a fleet and check its guarantees:
// Simulate runs many seeds of the simulation of the control plane, ModelCheck searches the states of
// a consensus group, Processes runs a load over a fleet of real processes on loopback while one fault
// happens, and Rollout measures how fast concurrent configuration changes reach all routers. Each
// command is a struct of flags with a method Run; a violation is errcode.ExecutionFailed.
package faulttest

import (
	"fmt"
	"runtime"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
)

// Simulate runs seeds of the soak test with mixed faults.
type Simulate struct {
	FirstSeed  uint64 `long:"first" description:"first seed" default:"0"`
	SeedCount  uint64 `long:"seeds" description:"number of seeds" default:"200"`
	Seconds    int    `long:"seconds" description:"virtual seconds of failures a seed" default:"60"`
	PrintTrace bool   `long:"trace" description:"print what was done, also for seeds that pass"`
}

// soakTotals are the sums over all seeds.
type soakTotals struct {
	lock            sync.Mutex
	failed          int
	acknowledged    int
	slowestRecovery clock.Microseconds
}

// Run runs all seeds and prints those that fail, with the command to replay them.
func (s *Simulate) Run() error {
	totals := &soakTotals{}
	forEachSeed(s.FirstSeed, s.SeedCount, runtime.NumCPU(), func(seed uint64) { s.runSeed(seed, totals) })
	fmt.Printf("%d seeds, %d with violations, %d entries acknowledged, slowest recovery %d ms\n",
		s.SeedCount, totals.failed, totals.acknowledged, totals.slowestRecovery/clock.Millisecond)
	if totals.failed > 0 {
		return errcode.New(errcode.ExecutionFailed, "%d seeds with violations", totals.failed)
	}
	return nil
}

// runSeed runs one seed. The report of the first seed that fails is printed, or of all with --trace.
func (s *Simulate) runSeed(seed uint64, totals *soakTotals) {
	soak := simulation.NewSoak(seed)
	violations := soak.Run(clock.Microseconds(s.Seconds) * clock.Second)
	totals.lock.Lock()
	defer totals.lock.Unlock()
	totals.acknowledged += len(soak.Acknowledged)
	totals.slowestRecovery = max(totals.slowestRecovery, soak.RecoveryTime)
	if len(violations) > 0 {
		totals.failed++
		fmt.Printf("replay with: coursepass-faulttest simulate --trace --seconds %d --seeds 1 --first %d\n", s.Seconds, seed)
	}
	if s.PrintTrace || len(violations) > 0 && totals.failed == 1 {
		fmt.Print(soak.Report())
	}
}
