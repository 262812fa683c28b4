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
	firstSeed = flag.Uint64("first", 0, "first seed of the whole-fleet soak")
	soakSeeds = flag.Uint64("seeds", 2, "number of seeds of the whole-fleet soak, for each deployment")
	doubled   = flag.Int("doubled", 10, "of a hundred one-shot requests, how many are sent to two routers at once")
	onlyFault = flag.String("only", "", "cause only this failure")
)

// Both users' fleets: nine machines and nine engines, ten machines and twelve engines.
func deployments() map[string]deployment {
	asociacion, merrimack := small(), small()
	asociacion.routers, asociacion.makers, asociacion.longRate, asociacion.shortRate = 6, 9, 24, 28
	merrimack.routers, merrimack.makers, merrimack.longRate, merrimack.shortRate = 7, 12, 24, 28
	merrimack.document, merrimack.service, merrimack.tenant = "../../../examples/merrimack.cue", "bulletin", "merrimack"
	merrimack.long, merrimack.short, merrimack.versions = "flag", "dispatch", []string{"m1", "m2"}
	merrimack.halls = []string{"lowell", "nashua", "concord"}
	return map[string]deployment{"asociacion": asociacion, "merrimack": merrimack}
}

const (
	soakFails = 16 * time.Second
	soakAfter = recovery + 4*time.Second
)

// soak is one seeded run of mixed failures over a whole fleet of real daemons, with
// observers that see only what callers, engines, operators and the platform see.
type soak struct {
	*stage
	*watch
	chance *rand.Rand
	trace  []string
	begun  time.Time
	healed time.Time
	lock   sync.Mutex
	told   []load.Told
	gone   map[string]bool
	since  map[string]time.Time
	wiped  bool
	rush   sync.WaitGroup
}

// The whole fleet under failures drawn by a seed. Goroutines of one virtual moment run
// in any order, so a replay may differ in detail; the trace tells what was done.
func TestWholeFleetSoak(test *testing.T) {
	if known := faults[*onlyFault]; *onlyFault != "" && known == nil {
		test.Fatalf("5000 setting-bad: -only %q is no failure", *onlyFault)
	}
	for name, deployment := range deployments() {
		for seed := *firstSeed; seed < *firstSeed+*soakSeeds; seed++ {
			test.Run(fmt.Sprintf("%s-%d", name, seed), func(test *testing.T) {
				marked := filepath.Join(test.TempDir(), "marked.cue")
				text, err := os.ReadFile(deployment.document)
				if err != nil {
					test.Fatal(err)
				}
				document := strings.Replace(string(text), "parameters: {", "parameters: {\n\tmark: int | *0", 1)
				if err := os.WriteFile(marked, []byte(document), 0o644); err != nil {
					test.Fatal(err)
				}
				deployment.document = marked
				playFor(test, deployment, 200, func(stage *stage) {
					run := &soak{stage: stage, chance: rand.New(rand.NewPCG(seed, 9)), gone: map[string]bool{}, since: map[string]time.Time{}}
					run.watch = newWatch(run, document)
					run.run(seed)
					if test.Failed() || run.recovered() > recovery/2 {
						test.Logf("replay with: go test ./internal/simulation -run 'TestWholeFleetSoak/%s-%d$' -first %d -seeds 1 -v\n%s",
							name, seed, seed, strings.Join(run.trace, "\n"))
					}
				})
			})
		}
	}
}

func (f *soak) note(format string, values ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.trace = append(f.trace, fmt.Sprintf("%6d ms ", time.Since(f.begun).Milliseconds())+fmt.Sprintf(format, values...))
}

func (f *soak) violate(format string, values ...any) {
	f.note("VIOLATION "+format, values...)
	f.Errorf(format, values...)
}

func (f *soak) run(seed uint64) {
	f.begun = time.Now()
	watching, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, each := range []func(context.Context){f.look, f.operateWhole, f.operateSmall, f.operateHalls} {
		group.Go(func() { each(watching) })
	}
	group.Go(func() {
		time.Sleep(time.Second)
		f.fail()
		f.heal()
	})
	figures := f.drive(seed)
	stop()
	group.Wait()
	f.rush.Wait()
	f.verify(figures)
	f.note("sent %d, whole %d, books %d read and %d missing, slowest recovery %v, worst starts %v", figures.Sent, figures.Endings["whole"],
		figures.Books, figures.Missing, f.recovered().Round(time.Millisecond), figures.Start)
	if f.recovered() > recovery/2 {
		f.note("late: %v", f.late())
	}
	f.Log(f.trace[len(f.trace)-1])
}

// drive is the callers' load over the whole run.
func (f *soak) drive(seed uint64) *load.Figures {
	run, err := load.New(load.Settings{
		Cores: f.corePub, Routers: f.routPub, Tenant: f.tenant, Long: f.long, Short: f.short,
		LongRate: f.longRate, ShortRate: f.shortRate, Seconds: int((soakFails + soakAfter) / time.Second), Seed: seed,
		Doubled: *doubled, Again: 5 * *doubled,
	}, simulation.Port{Fabric: f.Fabric, Machine: "caller"})
	if err != nil {
		f.Fatal(err)
	}
	origin := time.Now().Add(-time.Second)
	run.Watch = func(told load.Told) {
		f.lock.Lock()
		defer f.lock.Unlock()
		told.Ended += schedule.Microseconds(origin.UnixMicro())
		told.At += schedule.Microseconds(origin.UnixMicro())
		f.told = append(f.told, told)
	}
	figures, err := run.Drive(context.Background())
	if err != nil {
		f.Fatal(err)
	}
	for kind := range figures.Start {
		delete(figures.Start, kind)
	}
	return figures
}

// fail draws failures, alone and in pairs, until their time is up.
func (f *soak) fail() {
	names := faultNames()
	end := time.Now().Add(soakFails - time.Second)
	for time.Now().Before(end) {
		for range 1 + f.chance.IntN(2) {
			name := names[f.chance.IntN(len(names))]
			if *onlyFault != "" {
				name = *onlyFault
			}
			f.note("%s", name)
			faults[name](f)
			time.Sleep(time.Duration(f.chance.IntN(300)) * time.Millisecond)
		}
		time.Sleep(time.Duration(500+f.chance.IntN(3500)) * time.Millisecond)
		if f.chance.IntN(3) == 0 {
			f.mend()
		}
	}
}

func (f *soak) heal() {
	f.mend()
	f.lock.Lock()
	f.healed = time.Now()
	f.lock.Unlock()
	f.note("all healed")
}

// mend takes all failures away and lets all machines return.
func (f *soak) mend() {
	f.stayUp()
	f.MendDisks()
	f.Heal()
	for name := range f.start {
		if f.gone[name] {
			f.back(name)
		}
	}
	f.note("mended")
}

func (f *soak) down(names ...string) {
	for _, name := range names {
		f.kill(name)
		f.gone[name] = true
	}
}

func (f *soak) back(name string) {
	f.kill(name)
	delete(f.gone, name)
	f.returned(name)
	f.since[name] = time.Now()
	f.wake(name)
}

// late lists some of what was not whole after a third of the recovery's bound.
func (f *soak) late() (found []string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, told := range f.told {
		if span := time.Duration(told.At-schedule.Microseconds(f.healed.UnixMicro())) * time.Microsecond; span > recovery/3 && told.Name != "whole" && !strings.HasPrefix(told.Name, "key-reused") {
			found = append(found, fmt.Sprintf("%v %s: %s after %v", span, told.Kind, told.Name, (told.Ended-told.At).Duration()))
		}
	}
	return found
}

// recovered is how long after the healing the last request came that was not whole.
func (f *soak) recovered() time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()
	last := time.Duration(0)
	for _, told := range f.told {
		if told.Name != "whole" && !strings.HasPrefix(told.Name, "key-reused") {
			last = max(last, time.Duration(told.At-schedule.Microseconds(f.healed.UnixMicro()))*time.Microsecond)
		}
	}
	return last
}
