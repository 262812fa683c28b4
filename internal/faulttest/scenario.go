package faulttest

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/transport"
)

const (
	// settleDelay is the time between the configuration and the load.
	settleDelay = 4 * time.Second
	// loadMargin is how much longer than its length a load may take.
	loadMargin = 60 * time.Second
	// faultDelayDivisor: the fault is injected after this part of the load.
	faultDelayDivisor = 4
	// resendsPerDuplicate is how much more often unanswered requests are sent again than all are
	// sent twice.
	resendsPerDuplicate = 5
)

// Processes runs a load over a fleet of real processes, and injects one fault while it runs.
type Processes struct {
	Binary           string  `long:"binary" description:"the coursepass program" default:"bin/coursepass"`
	Scenario         string  `long:"scenario" description:"failure to cause; an unknown name prints all of them" default:"leader-killed"`
	Seconds          int     `long:"seconds" description:"virtual seconds of failures a seed" default:"60"`
	RouterCount      int     `long:"routers" description:"number of routers" default:"4"`
	EngineCount      int     `long:"engines" description:"number of engines" default:"12"`
	LongRate         float64 `long:"long-rate" description:"long requests a second" default:"30"`
	ShortRate        float64 `long:"short-rate" description:"short requests a second" default:"36"`
	Seed             uint64  `long:"seed" description:"seed of the load" default:"1"`
	DuplicatePercent int     `long:"duplicate-percent" description:"of a hundred one-shot requests, how many are sent to two routers at once" default:"10"`
	Document         string  `long:"configuration" description:"CUE document to apply" default:"examples/asociacion.cue"`
	KeepFiles        bool    `long:"keep" description:"keep the folder with logs and data"`
}

// faultInjector injects a fault and returns once it has ended, or all that the scenario does has been
// done.
type faultInjector func(context.Context, *processFleet) error

// scenarios are the fault injectors by their names on the command line.
var scenarios = map[string]faultInjector{
	"none":          func(context.Context, *processFleet) error { return nil },
	"leader-killed": killLeader,
	"leader-frozen": freezeLeader,
	"core-wiped":    wipeServer,
	"core-moved":    moveServer,
	"cores-killed":  killAllServers,
	"engine-killed": killEngines,
	"engine-frozen": freezeEngines,
	"router-killed": killRouter,
	"router-stop":   stopRouter,
	"evacuate":      evacuateZone,
	"leave":         markEngineLeaving,
	"herd":          killServersAndRouters,
}

// Run runs the scenario and prints the results of the load and the counters of the daemons. It
// returns errcode.ExecutionFailed if there are violations.
func (p *Processes) Run() error {
	inject, exists := scenarios[p.Scenario]
	if !exists {
		names := slices.Sorted(maps.Keys(scenarios))
		return errcode.New(errcode.InvalidSetting, "--scenario: %q is none of %s", p.Scenario, strings.Join(names, ", "))
	}
	directory, err := os.MkdirTemp("", "coursepass-faulttest-")
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "directory")
	}
	if p.KeepFiles {
		fmt.Println("logs and data in", directory)
	} else {
		// What is left of a temporary directory harms nobody.
		defer func() { _ = os.RemoveAll(directory) }()
	}
	fleet, err := newProcessFleet(p.Binary, directory, p.RouterCount, p.EngineCount)
	if err != nil {
		return err
	}
	defer fleet.stop()
	if err := fleet.start(); err != nil {
		return err
	}
	startedAt := time.Now()
	if err := fleet.applyDocument(p.Document); err != nil {
		return err
	}
	fmt.Printf("scenario %s: configuration in force %d ms after the start\n", p.Scenario, time.Since(startedAt).Milliseconds())
	time.Sleep(settleDelay)
	return p.runLoad(fleet, inject)
}

// runLoad runs the load with the fault in it, stops the fleet and prints the results.
func (p *Processes) runLoad(fleet *processFleet, inject faultInjector) error {
	generator, err := loadgen.New(loadgen.Settings{
		ControlPlane:     fleet.serverAddresses,
		Routers:          fleet.routerAddresses,
		Tenant:           "asociacion",
		LongKind:         "waiver",
		ShortKind:        "reply",
		LongRate:         p.LongRate,
		ShortRate:        p.ShortRate,
		Seconds:          p.Seconds,
		Seed:             p.Seed,
		DuplicatePercent: p.DuplicatePercent,
		ResendPercent:    resendsPerDuplicate * p.DuplicatePercent,
	}, transport.SystemNetwork)
	if err != nil {
		return err
	}
	duration := time.Duration(p.Seconds) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), duration+loadMargin)
	defer cancel()
	injected := make(chan error, 1)
	go func() {
		sleepContext(ctx, duration/faultDelayDivisor)
		injected <- inject(ctx, fleet)
	}()
	results, err := generator.Run(ctx)
	if err != nil {
		return err
	}
	if err := <-injected; err != nil {
		return err
	}
	results.Print(os.Stdout, false)
	fleet.printCounters(context.WithoutCancel(ctx))
	fleet.stop()
	fleet.printCPUTime()
	if count := len(results.Violations); count > 0 {
		return errcode.New(errcode.ExecutionFailed, "%d violations", count)
	}
	return nil
}
