package simulation_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/simulation"
)

var (
	firstSoakSeed    = flag.Uint64("first", 0, "first seed of the whole-fleet soak")
	soakSeeds        = flag.Uint64("seeds", 2, "number of seeds of the whole-fleet soak, for each deployment")
	duplicatePercent = flag.Int("doubled", 10, "of a hundred one-shot requests, how many are sent to two routers at once")
	onlyFault        = flag.String("only", "", "cause only this failure")
)

// deployments returns both users' fleets: nine hosts and nine engines, ten hosts and twelve engines.
func deployments() map[string]deployment {
	asociacion, merrimack := smallDeployment(), smallDeployment()
	asociacion.routerCount, asociacion.engineCount, asociacion.longRate, asociacion.shortRate = 6, 9, 24, 28
	merrimack.routerCount, merrimack.engineCount, merrimack.longRate, merrimack.shortRate = 7, 12, 24, 28
	merrimack.document, merrimack.service, merrimack.tenant = "../../../examples/merrimack.cue", "bulletin", "merrimack"
	merrimack.longTemplate, merrimack.shortTemplate, merrimack.versions = "flag", "dispatch", []string{"m1", "m2"}
	merrimack.zones = []string{"lowell", "nashua", "concord"}
	return map[string]deployment{"asociacion": asociacion, "merrimack": merrimack}
}

const (
	soakFaultDuration    = 16 * time.Second
	soakRecoveryDuration = recoveryLimit + 4*time.Second
)

// fleetSoak is one seeded run of mixed faults over a fleet of real daemons, with observers that see only
// what callers, engines, operators and the platform see.
type fleetSoak struct {
	*testFleet
	*fleetObserver
	random      *rand.Rand
	trace       []string
	startedAt   time.Time
	healedAt    time.Time
	traceLock   sync.Mutex
	results     []loadgen.RequestResult
	downDaemons map[string]bool
	restartedAt map[string]time.Time
	diskWiped   bool
	surges      sync.WaitGroup
}

// TestFleetSoak runs a fleet under faults that a seed determines. Goroutines of one virtual time run in any
// order, so a replay may differ in detail; the trace has the faults.
func TestFleetSoak(t *testing.T) {
	if injector := faultInjectors[*onlyFault]; *onlyFault != "" && injector == nil {
		t.Fatalf("5000 setting-bad: -only %q is no fault", *onlyFault)
	}
	for name, deployment := range deployments() {
		for seed := *firstSoakSeed; seed < *firstSoakSeed+*soakSeeds; seed++ {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				documentPath := filepath.Join(t.TempDir(), "marked.cue")
				text, err := os.ReadFile(deployment.document)
				if err != nil {
					t.Fatal(err)
				}
				document := strings.Replace(string(text), "parameters: {", "parameters: {\n\tmark: int | *0", 1)
				if err := os.WriteFile(documentPath, []byte(document), 0o644); err != nil {
					t.Fatal(err)
				}
				deployment.document = documentPath
				runScenarioFor(t, deployment, 200, func(fleet *testFleet) {
					run := &fleetSoak{
						testFleet:   fleet,
						random:      rand.New(rand.NewPCG(seed, 9)),
						downDaemons: map[string]bool{},
						restartedAt: map[string]time.Time{},
					}
					run.fleetObserver = newFleetObserver(run, document)
					run.runSeed(seed)
					if t.Failed() || run.lastIncompleteTime() > recoveryLimit/2 {
						t.Logf("replay with: go test ./internal/faulttest/simulation -run 'TestFleetSoak/%s-%d$' -first %d -seeds 1 -v\n%s",
							name, seed, seed, strings.Join(run.trace, "\n"))
					}
				})
			})
		}
	}
}

func (f *fleetSoak) recordTrace(format string, values ...any) {
	f.traceLock.Lock()
	defer f.traceLock.Unlock()
	f.trace = append(f.trace, fmt.Sprintf("%6d ms ", time.Since(f.startedAt).Milliseconds())+fmt.Sprintf(format, values...))
}

func (f *fleetSoak) reportViolation(format string, values ...any) {
	f.recordTrace("VIOLATION "+format, values...)
	f.Errorf(format, values...)
}

func (f *fleetSoak) runSeed(seed uint64) {
	f.startedAt = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	observations := []func(context.Context){
		f.pollRouters,
		f.sendDocuments,
		f.sendSmallChanges,
		f.changeEvacuatedZones,
	}
	for _, observe := range observations {
		group.Go(func() { observe(ctx) })
	}
	group.Go(func() {
		time.Sleep(time.Second)
		f.injectFaults()
		f.healFinally()
	})
	results := f.runSeededLoad(seed)
	stop()
	group.Wait()
	f.surges.Wait()
	f.checkInvariants(results)
	f.recordTrace("sent %d, complete %d, run logs %d read and %d missing, slowest recovery %v, latency of first tokens %v",
		results.Sent, results.Outcomes[loadgen.OutcomeComplete], results.RunLogsRead, results.RunLogsMissing,
		f.lastIncompleteTime().Round(time.Millisecond), results.FirstTokenLatency)
	if f.lastIncompleteTime() > recoveryLimit/2 {
		f.recordTrace("late: %v", f.incompleteResults())
	}
	f.Log(f.trace[len(f.trace)-1])
}

// runSeededLoad runs the load of the callers over the whole soak.
func (f *fleetSoak) runSeededLoad(seed uint64) *loadgen.Results {
	generator, err := loadgen.New(loadgen.Settings{
		ControlPlane:     f.serverAddresses,
		Routers:          f.routerAddresses,
		Tenant:           f.tenant,
		LongKind:         f.longTemplate,
		ShortKind:        f.shortTemplate,
		LongRate:         f.longRate,
		ShortRate:        f.shortRate,
		Seconds:          int((soakFaultDuration + soakRecoveryDuration) / time.Second),
		Seed:             seed,
		DuplicatePercent: *duplicatePercent,
		ResendPercent:    5 * *duplicatePercent,
	}, simulation.Host{MemoryNetwork: f.MemoryNetwork, Name: "caller"})
	if err != nil {
		f.Fatal(err)
	}
	origin := time.Now().Add(-time.Second)
	generator.OnResult = func(result loadgen.RequestResult) {
		f.traceLock.Lock()
		defer f.traceLock.Unlock()
		result.EndedAt += clock.Microseconds(origin.UnixMicro())
		result.IntendedAt += clock.Microseconds(origin.UnixMicro())
		f.results = append(f.results, result)
	}
	results, err := generator.Run(context.Background())
	if err != nil {
		f.Fatal(err)
	}
	for kind := range results.FirstTokenLatency {
		delete(results.FirstTokenLatency, kind)
	}
	return results
}

// injectFaults injects random faults, alone and in pairs, until the fault duration has passed.
func (f *fleetSoak) injectFaults() {
	names := faultNames()
	end := time.Now().Add(soakFaultDuration - time.Second)
	for time.Now().Before(end) {
		for range 1 + f.random.IntN(2) {
			name := names[f.random.IntN(len(names))]
			if *onlyFault != "" {
				name = *onlyFault
			}
			f.recordTrace("%s", name)
			faultInjectors[name](f)
			time.Sleep(time.Duration(f.random.IntN(300)) * time.Millisecond)
		}
		time.Sleep(time.Duration(500+f.random.IntN(3500)) * time.Millisecond)
		if f.random.IntN(3) == 0 {
			f.healAll()
		}
	}
}

func (f *fleetSoak) healFinally() {
	f.healAll()
	f.traceLock.Lock()
	f.healedAt = time.Now()
	f.traceLock.Unlock()
	f.recordTrace("all healed")
}

// healAll ends all faults and starts the daemons that are down.
func (f *fleetSoak) healAll() {
	f.checkServersRunning()
	f.RepairDisks()
	f.Heal()
	for name := range f.starters {
		if f.downDaemons[name] {
			f.restartDaemon(name)
		}
	}
	f.recordTrace("healed")
}

func (f *fleetSoak) killDaemons(names ...string) {
	for _, name := range names {
		f.killDaemon(name)
		f.downDaemons[name] = true
	}
}

func (f *fleetSoak) restartDaemon(name string) {
	f.killDaemon(name)
	delete(f.downDaemons, name)
	f.endIdlePeriod(name)
	f.restartedAt[name] = time.Now()
	f.startDaemon(name)
}

// incompleteResults lists the requests that were not complete later than a third of the recovery limit after
// the last fault.
func (f *fleetSoak) incompleteResults() (incomplete []string) {
	f.traceLock.Lock()
	defer f.traceLock.Unlock()
	for _, result := range f.results {
		sinceHealed := f.timeSinceHealed(result)
		if sinceHealed > recoveryLimit/3 && isIncomplete(result) {
			latency := (result.EndedAt - result.IntendedAt).Duration()
			incomplete = append(incomplete, fmt.Sprintf("%v %s: %s after %v", sinceHealed, result.Kind, result.Outcome, latency))
		}
	}
	return incomplete
}

// lastIncompleteTime returns how long after the last fault the last request arrived that was not complete.
func (f *fleetSoak) lastIncompleteTime() time.Duration {
	f.traceLock.Lock()
	defer f.traceLock.Unlock()
	last := time.Duration(0)
	for _, result := range f.results {
		if isIncomplete(result) {
			last = max(last, f.timeSinceHealed(result))
		}
	}
	return last
}

// timeSinceHealed returns how long after the last fault a request arrived. The trace lock must be held.
func (f *fleetSoak) timeSinceHealed(result loadgen.RequestResult) time.Duration {
	return (result.IntendedAt - clock.Microseconds(f.healedAt.UnixMicro())).Duration()
}

// isIncomplete reports whether a request failed; one under a key that is in use does not count.
func isIncomplete(result loadgen.RequestResult) bool {
	return result.Outcome != loadgen.OutcomeComplete && !strings.HasPrefix(string(result.Outcome), "key-reused")
}
