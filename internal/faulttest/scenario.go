package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/transport"
)

// Processes runs a load over a fleet of real processes, and causes one failure in
// its middle.
type Processes struct {
	Binary           string  `long:"binary" description:"the coursepass program" default:"bin/coursepass"`
	Scenario         string  `long:"scenario" description:"failure to cause; list names them all" default:"leader-killed"`
	Seconds          int     `long:"seconds" description:"length of the load" default:"30"`
	RouterCount      int     `long:"routers" description:"number of routers" default:"4"`
	EngineCount      int     `long:"engines" description:"number of engines" default:"12"`
	LongRate         float64 `long:"long-rate" description:"long requests a second" default:"30"`
	ShortRate        float64 `long:"short-rate" description:"short requests a second" default:"36"`
	Seed             uint64  `long:"seed" description:"seed of the load" default:"1"`
	DuplicatePercent int     `long:"doubled" description:"of a hundred one-shot requests, how many are sent to two routers at once" default:"10"`
	Document         string  `long:"configuration" description:"CUE document to apply" default:"examples/asociacion.cue"`
	KeepFiles        bool    `long:"keep" description:"keep the folder with logs and data"`
}

type faultInjector func(context.Context, *processFleet) error

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

// Run runs the scenario and prints the load's figures and the counts.
func (p *Processes) Run() error {
	inject, exists := scenarios[p.Scenario]
	if !exists {
		return errcode.New(errcode.InvalidSetting, "--scenario: %q is none of %s", p.Scenario, strings.Join(slices.Sorted(maps.Keys(scenarios)), ", "))
	}
	directory, err := os.MkdirTemp("", "coursepass-faulttest-")
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "folder")
	}
	if p.KeepFiles {
		fmt.Println("logs and data in", directory)
	} else {
		defer os.RemoveAll(directory)
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
	time.Sleep(4 * time.Second)
	return p.runLoad(fleet, inject)
}

func (p *Processes) runLoad(fleet *processFleet, inject faultInjector) error {
	generator, err := loadgen.New(loadgen.Settings{
		ControlPlane: fleet.serverAddresses, Routers: fleet.routerAddresses, Tenant: "asociacion", LongKind: "waiver", ShortKind: "reply",
		LongRate: p.LongRate, ShortRate: p.ShortRate, Seconds: p.Seconds, Seed: p.Seed,
		DuplicatePercent: p.DuplicatePercent, ResendPercent: 5 * p.DuplicatePercent,
	}, transport.SystemNetwork)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.Seconds+60)*time.Second)
	defer cancel()
	injected := make(chan error, 1)
	go func() {
		sleepContext(ctx, time.Duration(p.Seconds)*time.Second/4)
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
	fleet.printCounters()
	fleet.stop()
	fmt.Printf("processor time: cores %d ms, routers %d ms\n", fleet.cpuTime("core").Milliseconds(), fleet.cpuTime("router").Milliseconds())
	if count := len(results.Violations); count > 0 {
		return errcode.New(errcode.ExecutionFailed, "%d violations", count)
	}
	return nil
}

func getJSON(address, path string, target any) error {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer response.Body.Close()
	return errcode.Wrap(json.NewDecoder(response.Body).Decode(target), errcode.MalformedMessage, address)
}

// printCounters prints what the daemons counted, cores and routers each added up.
func (p *processFleet) printCounters() {
	for _, group := range []struct {
		name      string
		addresses []string
	}{{"cores", p.serverAddresses}, {"routers", p.routerAddresses}} {
		sums := map[string]int64{}
		for _, address := range group.addresses {
			var counters map[string]int64
			if getJSON(address, "/counters", &counters) == nil {
				for name, count := range counters {
					sums[name] += count
				}
			}
		}
		fmt.Printf("%s:", group.name)
		for _, name := range slices.Sorted(maps.Keys(sums)) {
			if sums[name] != 0 {
				fmt.Printf(" %s=%d", name, sums[name])
			}
		}
		fmt.Println()
	}
}

func (p *processFleet) applyDocument(document string) error {
	apply := &adminclient.Apply{ChangeCommand: adminclient.ChangeCommand{Client: adminclient.Client{Cores: p.serverAddresses}, ExpectedRevision: 0, Key: "trial-start"}}
	apply.Arguments.File = document
	var err error
	for startedAt := time.Now(); time.Since(startedAt) < 30*time.Second; time.Sleep(200 * time.Millisecond) {
		if err = apply.Run(); err == nil {
			return nil
		}
	}
	return err
}

// serviceLeader finds the core that owns the service's part.
func (p *processFleet) serviceLeader() (int, uint64) {
	for number, address := range p.serverAddresses {
		var overview controlplane.ServerStatus
		if p.servers[number].command == nil || getJSON(address, "/v1/status", &overview) != nil {
			continue
		}
		for _, shard := range overview.Shards {
			if shard.Shard == 1 && shard.Owner {
				return number, shard.Term
			}
		}
	}
	return -1, 0
}

func (p *processFleet) awaitLeader(ctx context.Context, other int, startedAt time.Time) {
	for ctx.Err() == nil && time.Since(startedAt) < 20*time.Second {
		if number, term := p.serviceLeader(); number >= 0 && number != other {
			fmt.Printf("core-%d leads in round %d, %d ms after the failure\n", number, term, time.Since(startedAt).Milliseconds())
			return
		}
		sleepContext(ctx, 50*time.Millisecond)
	}
}

func killLeader(ctx context.Context, fleet *processFleet) error {
	number, term := fleet.serviceLeader()
	if number < 0 {
		return errcode.New(errcode.NotLeader, "no leader to kill")
	}
	fmt.Printf("kill core-%d, which leads in round %d\n", number, term)
	fleet.servers[number].terminate(syscall.SIGKILL)
	fleet.awaitLeader(ctx, number, time.Now())
	sleepContext(ctx, 3*time.Second)
	return fleet.servers[number].start()
}

func freezeLeader(ctx context.Context, fleet *processFleet) error {
	number, term := fleet.serviceLeader()
	if number < 0 {
		return errcode.New(errcode.NotLeader, "no leader to freeze")
	}
	fmt.Printf("freeze core-%d, which leads in round %d, for 6 s\n", number, term)
	fleet.servers[number].signal(syscall.SIGSTOP)
	sleepContext(ctx, 6*time.Second)
	fleet.servers[number].signal(syscall.SIGCONT)
	fleet.awaitLeader(ctx, number, time.Now())
	return nil
}

func wipeServer(ctx context.Context, fleet *processFleet) error {
	number, _ := fleet.serviceLeader()
	number = max(number, 0)
	fmt.Printf("kill core-%d and lose its disk\n", number)
	fleet.servers[number].terminate(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(fleet.directory, fleet.servers[number].name)); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "wipe")
	}
	sleepContext(ctx, time.Second)
	return fleet.servers[number].start()
}

// moveServer has a core machine come back empty at a new address, and then kills
// another, so that the returned one is needed for every majority.
func moveServer(ctx context.Context, fleet *processFleet) error {
	freePorts, err := freeAddresses(2)
	if err != nil {
		return err
	}
	moved := fleet.servers[2]
	fmt.Println("kill core-2 and lose its disk; it comes back at a new address")
	moved.terminate(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(fleet.directory, moved.name)); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "wipe")
	}
	for index, flag := range moved.flags {
		switch flag {
		case "--inner":
			moved.flags[index+1] = freePorts[0]
		case "--public":
			moved.flags[index+1] = freePorts[1]
		}
	}
	fleet.serverAddresses[2] = freePorts[1]
	sleepContext(ctx, time.Second)
	startedAt := time.Now()
	if err := moved.start(); err != nil {
		return err
	}
	for !fleet.votesInAllShards(2) && time.Since(startedAt) < 30*time.Second {
		sleepContext(ctx, 50*time.Millisecond)
	}
	fmt.Printf("core-2 has its seats %d ms after its start; kill core-0\n", time.Since(startedAt).Milliseconds())
	fleet.servers[0].terminate(syscall.SIGKILL)
	fleet.awaitLeader(ctx, 0, time.Now())
	return nil
}

func (p *processFleet) votesInAllShards(number int) bool {
	var overview controlplane.ServerStatus
	if getJSON(p.serverAddresses[number], "/v1/status", &overview) != nil || len(overview.Shards) == 0 {
		return false
	}
	for _, shard := range overview.Shards {
		if shard.Slot < 0 || shard.CatchingUp || !shard.UpToDate {
			return false
		}
	}
	return true
}

func killAllServers(ctx context.Context, fleet *processFleet) error {
	fmt.Println("kill all cores, start them again after 2 s")
	for _, process := range fleet.servers {
		process.terminate(syscall.SIGKILL)
	}
	return fleet.restartProcesses(ctx, fleet.servers)
}

// restartProcesses starts processes again after two seconds and waits for a leader.
func (p *processFleet) restartProcesses(ctx context.Context, stopped []*daemonProcess) error {
	sleepContext(ctx, 2*time.Second)
	for _, process := range stopped {
		if err := process.start(); err != nil {
			return err
		}
	}
	p.awaitLeader(ctx, -1, time.Now())
	return nil
}

func killEngines(ctx context.Context, fleet *processFleet) error {
	fmt.Println("kill engine-0 and engine-7, start them again after 2 s")
	for _, number := range []int{0, 7} {
		fleet.engines[number].terminate(syscall.SIGKILL)
	}
	sleepContext(ctx, 2*time.Second)
	for _, number := range []int{0, 7} {
		if err := fleet.engines[number].start(); err != nil {
			return err
		}
	}
	return nil
}

func freezeEngines(ctx context.Context, fleet *processFleet) error {
	fmt.Println("freeze engine-0 and engine-7 for 4 s")
	for _, number := range []int{0, 7} {
		fleet.engines[number].signal(syscall.SIGSTOP)
	}
	sleepContext(ctx, 4*time.Second)
	for _, number := range []int{0, 7} {
		fleet.engines[number].signal(syscall.SIGCONT)
	}
	return nil
}

func killRouter(ctx context.Context, fleet *processFleet) error {
	fmt.Println("kill router-0, start it again after 2 s")
	fleet.routers[0].terminate(syscall.SIGKILL)
	sleepContext(ctx, 2*time.Second)
	return fleet.routers[0].start()
}

func stopRouter(ctx context.Context, fleet *processFleet) error {
	fmt.Println("stop router-0 politely, start it again")
	startedAt := time.Now()
	fleet.routers[0].terminate(syscall.SIGTERM)
	fmt.Printf("router-0 ended after %d ms\n", time.Since(startedAt).Milliseconds())
	return fleet.routers[0].start()
}

func evacuateZone(ctx context.Context, fleet *processFleet) error {
	evacuate := &adminclient.Evacuate{ChangeCommand: adminclient.ChangeCommand{Client: adminclient.Client{Cores: fleet.serverAddresses}, ExpectedRevision: -1}}
	evacuate.Arguments.Zone = "sur"
	fmt.Println("evacuate hall sur, let it back after 8 s")
	if err := evacuate.Run(); err != nil {
		return err
	}
	sleepContext(ctx, 8*time.Second)
	evacuate.Undo = true
	return evacuate.Run()
}

func markEngineLeaving(_ context.Context, fleet *processFleet) error {
	fmt.Println("engine-3 is listed as leaving")
	leave := &adminclient.DrainEngine{Client: adminclient.Client{Cores: fleet.serverAddresses}}
	leave.Arguments.Service, leave.Arguments.Engine = "reservas", "engine-3"
	return leave.Run()
}

func killServersAndRouters(ctx context.Context, fleet *processFleet) error {
	fmt.Println("kill all cores and routers, start them again after 2 s")
	stopped := append(slices.Clone(fleet.servers), fleet.routers...)
	for _, process := range stopped {
		process.terminate(syscall.SIGKILL)
	}
	return fleet.restartProcesses(ctx, stopped)
}
