package trial

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
	Binary   string  `long:"binary" description:"the coursepass program" default:"bin/coursepass"`
	Scenario string  `long:"scenario" description:"failure to cause; list names them all" default:"leader-killed"`
	Seconds  int     `long:"seconds" description:"length of the load" default:"30"`
	Routers  int     `long:"routers" description:"number of routers" default:"4"`
	Engines  int     `long:"engines" description:"number of engines" default:"12"`
	Long     float64 `long:"long-rate" description:"long requests a second" default:"30"`
	Short    float64 `long:"short-rate" description:"short requests a second" default:"36"`
	Seed     uint64  `long:"seed" description:"seed of the load" default:"1"`
	Doubled  int     `long:"doubled" description:"of a hundred one-shot requests, how many are sent to two routers at once" default:"10"`
	Document string  `long:"configuration" description:"CUE document to apply" default:"examples/asociacion.cue"`
	Keep     bool    `long:"keep" description:"keep the folder with logs and data"`
}

type failure func(context.Context, *crowd) error

var scenarios = map[string]failure{
	"none":          func(context.Context, *crowd) error { return nil },
	"leader-killed": leaderKilled,
	"leader-frozen": leaderFrozen,
	"core-wiped":    coreWiped,
	"core-moved":    coreMoved,
	"cores-killed":  coresKilled,
	"engine-killed": engineKilled,
	"engine-frozen": engineFrozen,
	"router-killed": routerKilled,
	"router-stop":   routerStopped,
	"evacuate":      evacuated,
	"leave":         left,
	"herd":          herd,
}

// Run runs the scenario and prints the load's figures and the counts.
func (p *Processes) Run() error {
	cause, known := scenarios[p.Scenario]
	if !known {
		return mishap.New(mishap.SettingBad, "--scenario: %q is none of %s", p.Scenario, strings.Join(slices.Sorted(maps.Keys(scenarios)), ", "))
	}
	folder, err := os.MkdirTemp("", "coursepass-faulttest-")
	if err != nil {
		return mishap.Wrap(err, mishap.StartFailed, "folder")
	}
	if p.Keep {
		fmt.Println("logs and data in", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	crowd, err := newCrowd(p.Binary, folder, p.Routers, p.Engines)
	if err != nil {
		return err
	}
	defer crowd.stop()
	if err := crowd.start(); err != nil {
		return err
	}
	begun := time.Now()
	if err := crowd.configure(p.Document); err != nil {
		return err
	}
	fmt.Printf("scenario %s: configuration in force %d ms after the start\n", p.Scenario, time.Since(begun).Milliseconds())
	time.Sleep(4 * time.Second)
	return p.drive(crowd, cause)
}

func (p *Processes) drive(crowd *crowd, cause failure) error {
	run, err := load.New(load.Settings{
		Cores: crowd.corePub, Routers: crowd.routPub, Tenant: "asociacion", Long: "waiver", Short: "reply",
		LongRate: p.Long, ShortRate: p.Short, Seconds: p.Seconds, Seed: p.Seed,
		Doubled: p.Doubled, Again: 5 * p.Doubled,
	}, circuit.System)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(p.Seconds+60)*time.Second)
	defer cancel()
	caused := make(chan error, 1)
	go func() {
		pause(bounded, time.Duration(p.Seconds)*time.Second/4)
		caused <- cause(bounded, crowd)
	}()
	figures, err := run.Drive(bounded)
	if err != nil {
		return err
	}
	if err := <-caused; err != nil {
		return err
	}
	figures.Print(os.Stdout, false)
	crowd.count()
	crowd.stop()
	fmt.Printf("processor time: cores %d ms, routers %d ms\n", crowd.used("core").Milliseconds(), crowd.used("router").Milliseconds())
	if count := len(figures.Violations); count > 0 {
		return mishap.New(mishap.RunFailed, "%d violations", count)
	}
	return nil
}

func get(address, path string, into any) error {
	client := &http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return mishap.Wrap(err, mishap.CircuitLost, address)
	}
	defer answer.Body.Close()
	return mishap.Wrap(json.NewDecoder(answer.Body).Decode(into), mishap.Garbage, address)
}

// count prints what the daemons counted, cores and routers each added up.
func (p *crowd) count() {
	for _, each := range []struct {
		name      string
		addresses []string
	}{{"cores", p.corePub}, {"routers", p.routPub}} {
		sums := map[string]int64{}
		for _, address := range each.addresses {
			var counters map[string]int64
			if get(address, "/counters", &counters) == nil {
				for name, count := range counters {
					sums[name] += count
				}
			}
		}
		fmt.Printf("%s:", each.name)
		for _, name := range slices.Sorted(maps.Keys(sums)) {
			if sums[name] != 0 {
				fmt.Printf(" %s=%d", name, sums[name])
			}
		}
		fmt.Println()
	}
}

func (p *crowd) configure(document string) error {
	apply := &operator.Apply{Change: operator.Change{Target: operator.Target{Cores: p.corePub}, Expect: 0, Key: "trial-start"}}
	apply.Arguments.File = document
	var err error
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(200 * time.Millisecond) {
		if err = apply.Run(); err == nil {
			return nil
		}
	}
	return err
}

// leader finds the core that owns the service's part.
func (p *crowd) leader() (int, uint64) {
	for number, address := range p.corePub {
		var overview core.Overview
		if p.cores[number].command == nil || get(address, "/v1/status", &overview) != nil {
			continue
		}
		for _, part := range overview.Parts {
			if part.Part == 1 && part.Owner {
				return number, part.Round
			}
		}
	}
	return -1, 0
}

func (p *crowd) awaitLeader(ctx context.Context, other int, begun time.Time) {
	for ctx.Err() == nil && time.Since(begun) < 20*time.Second {
		if number, round := p.leader(); number >= 0 && number != other {
			fmt.Printf("core-%d leads in round %d, %d ms after the failure\n", number, round, time.Since(begun).Milliseconds())
			return
		}
		pause(ctx, 50*time.Millisecond)
	}
}

func leaderKilled(ctx context.Context, crowd *crowd) error {
	number, round := crowd.leader()
	if number < 0 {
		return mishap.New(mishap.NotOwner, "no leader to kill")
	}
	fmt.Printf("kill core-%d, which leads in round %d\n", number, round)
	crowd.cores[number].end(syscall.SIGKILL)
	crowd.awaitLeader(ctx, number, time.Now())
	pause(ctx, 3*time.Second)
	return crowd.cores[number].start()
}

func leaderFrozen(ctx context.Context, crowd *crowd) error {
	number, round := crowd.leader()
	if number < 0 {
		return mishap.New(mishap.NotOwner, "no leader to freeze")
	}
	fmt.Printf("freeze core-%d, which leads in round %d, for 6 s\n", number, round)
	crowd.cores[number].signal(syscall.SIGSTOP)
	pause(ctx, 6*time.Second)
	crowd.cores[number].signal(syscall.SIGCONT)
	crowd.awaitLeader(ctx, number, time.Now())
	return nil
}

func coreWiped(ctx context.Context, crowd *crowd) error {
	number, _ := crowd.leader()
	number = max(number, 0)
	fmt.Printf("kill core-%d and lose its disk\n", number)
	crowd.cores[number].end(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(crowd.folder, crowd.cores[number].name)); err != nil {
		return mishap.Wrap(err, mishap.StartFailed, "wipe")
	}
	pause(ctx, time.Second)
	return crowd.cores[number].start()
}

// coreMoved has a core machine come back empty at a new address, and then kills
// another, so that the returned one is needed for every majority.
func coreMoved(ctx context.Context, crowd *crowd) error {
	free, err := addresses(2)
	if err != nil {
		return err
	}
	moved := crowd.cores[2]
	fmt.Println("kill core-2 and lose its disk; it comes back at a new address")
	moved.end(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(crowd.folder, moved.name)); err != nil {
		return mishap.Wrap(err, mishap.StartFailed, "wipe")
	}
	for place, flag := range moved.flags {
		switch flag {
		case "--inner":
			moved.flags[place+1] = free[0]
		case "--public":
			moved.flags[place+1] = free[1]
		}
	}
	crowd.corePub[2] = free[1]
	pause(ctx, time.Second)
	begun := time.Now()
	if err := moved.start(); err != nil {
		return err
	}
	for !crowd.seated(2) && time.Since(begun) < 30*time.Second {
		pause(ctx, 50*time.Millisecond)
	}
	fmt.Printf("core-2 has its seats %d ms after its start; kill core-0\n", time.Since(begun).Milliseconds())
	crowd.cores[0].end(syscall.SIGKILL)
	crowd.awaitLeader(ctx, 0, time.Now())
	return nil
}

func (p *crowd) seated(number int) bool {
	var overview core.Overview
	if get(p.corePub[number], "/v1/status", &overview) != nil || len(overview.Parts) == 0 {
		return false
	}
	for _, part := range overview.Parts {
		if part.Slot < 0 || part.Recovering || !part.Current {
			return false
		}
	}
	return true
}

func coresKilled(ctx context.Context, crowd *crowd) error {
	fmt.Println("kill all cores, start them again after 2 s")
	for _, each := range crowd.cores {
		each.end(syscall.SIGKILL)
	}
	return crowd.back(ctx, crowd.cores)
}

// back starts processes again after two seconds and waits for a leader.
func (p *crowd) back(ctx context.Context, gone []*process) error {
	pause(ctx, 2*time.Second)
	for _, each := range gone {
		if err := each.start(); err != nil {
			return err
		}
	}
	p.awaitLeader(ctx, -1, time.Now())
	return nil
}

func engineKilled(ctx context.Context, crowd *crowd) error {
	fmt.Println("kill engine-0 and engine-7, start them again after 2 s")
	for _, number := range []int{0, 7} {
		crowd.engines[number].end(syscall.SIGKILL)
	}
	pause(ctx, 2*time.Second)
	for _, number := range []int{0, 7} {
		if err := crowd.engines[number].start(); err != nil {
			return err
		}
	}
	return nil
}

func engineFrozen(ctx context.Context, crowd *crowd) error {
	fmt.Println("freeze engine-0 and engine-7 for 4 s")
	for _, number := range []int{0, 7} {
		crowd.engines[number].signal(syscall.SIGSTOP)
	}
	pause(ctx, 4*time.Second)
	for _, number := range []int{0, 7} {
		crowd.engines[number].signal(syscall.SIGCONT)
	}
	return nil
}

func routerKilled(ctx context.Context, crowd *crowd) error {
	fmt.Println("kill router-0, start it again after 2 s")
	crowd.routers[0].end(syscall.SIGKILL)
	pause(ctx, 2*time.Second)
	return crowd.routers[0].start()
}

func routerStopped(ctx context.Context, crowd *crowd) error {
	fmt.Println("stop router-0 politely, start it again")
	begun := time.Now()
	crowd.routers[0].end(syscall.SIGTERM)
	fmt.Printf("router-0 ended after %d ms\n", time.Since(begun).Milliseconds())
	return crowd.routers[0].start()
}

func evacuated(ctx context.Context, crowd *crowd) error {
	evacuate := &operator.Evacuate{Change: operator.Change{Target: operator.Target{Cores: crowd.corePub}, Expect: -1}}
	evacuate.Arguments.Hall = "sur"
	fmt.Println("evacuate hall sur, let it back after 8 s")
	if err := evacuate.Run(); err != nil {
		return err
	}
	pause(ctx, 8*time.Second)
	evacuate.Back = true
	return evacuate.Run()
}

func left(_ context.Context, crowd *crowd) error {
	fmt.Println("engine-3 is listed as leaving")
	leave := &operator.Leave{Target: operator.Target{Cores: crowd.corePub}}
	leave.Arguments.Service, leave.Arguments.Engine = "reservas", "engine-3"
	return leave.Run()
}

func herd(ctx context.Context, crowd *crowd) error {
	fmt.Println("kill all cores and routers, start them again after 2 s")
	gone := append(slices.Clone(crowd.cores), crowd.routers...)
	for _, each := range gone {
		each.end(syscall.SIGKILL)
	}
	return crowd.back(ctx, gone)
}
