package simulation_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
)

// stage is a whole fleet of the real daemons over a fabric, under the virtual clock
// of testing/synctest.
type stage struct {
	*testing.T
	*simulation.Fabric
	deployment
	lives     map[string]*life
	observers map[string]*engine.Observer
	start     map[string]func() func(context.Context) error
	engines   map[string]*engine.Engine
	cores     map[string]*core.Core
	lock      sync.Mutex
	folder    string
	seeds     []string
	corePub   []string
	routPub   []string
	meddle    func(http.Handler) http.Handler
	handOver  int
	keep      int
}

type life struct {
	stop context.CancelFunc
	done chan struct{}
}

// deployment is what one of the users has, and what its callers send.
type deployment struct {
	document, service, tenant, long, short string
	versions, halls                        []string
	routers, makers                        int
	longRate, shortRate                    float64
	regions                                map[string]string
}

var halls = []string{"norte", "centro", "sur"}

// small is a fleet for plays of one failure.
func small() deployment {
	return deployment{
		document: "../../../examples/asociacion.cue", service: "reservas", tenant: "asociacion", long: "waiver", short: "reply",
		versions: []string{"r1", "r2"}, halls: halls, routers: 3, makers: 6, longRate: 20, shortRate: 24,
	}
}

func TestMain(all *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	os.Exit(all.Run())
}

func play(test *testing.T, act func(*stage)) { playOver(test, 200, act) }

// playOver plays over links whose every write takes the latency.
func playOver(test *testing.T, latency schedule.Microseconds, act func(*stage)) {
	playFor(test, small(), latency, act)
}

func playFor(test *testing.T, deployment deployment, latency schedule.Microseconds, act func(*stage)) {
	test.Parallel()
	folder := test.TempDir()
	synctest.Test(test, func(test *testing.T) {
		stage := &stage{
			T: test, Fabric: simulation.NewFabric(latency), deployment: deployment, engines: map[string]*engine.Engine{}, cores: map[string]*core.Core{}, lives: map[string]*life{}, folder: folder,
			observers: map[string]*engine.Observer{}, handOver: 3000, keep: 5000, start: map[string]func() func(context.Context) error{},
		}
		defer stage.end()
		stage.build(3, deployment.routers, deployment.makers)
		for name := range stage.start {
			stage.wake(name)
		}
		stage.configure()
		time.Sleep(5 * time.Second)
		act(stage)
	})
}

// end kills all daemons, lets what they began come to rest, and asks the observers.
func (t *stage) end() {
	for name := range t.lives {
		t.kill(name)
	}
	for name, observer := range t.observers {
		for _, violation := range observer.Violations() {
			t.Errorf("%s: %s", name, violation)
		}
	}
	time.Sleep(2 * time.Minute)
}

func (t *stage) build(cores, routers, engines int) {
	for number := range cores {
		t.seeds = append(t.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		t.corePub = append(t.corePub, fmt.Sprintf("127.0.0.%d:2", number))
	}
	place := func(role string, number int, public string) setting.Place {
		return setting.Place{Name: fmt.Sprintf("%s-%d", role, number), Hall: t.halls[number%3], Fleet: "stage", Public: public, Seeds: t.seeds, RegionOf: t.regions}
	}
	for number := range cores {
		t.core(fmt.Sprint("core-", number), t.halls[number%3], t.seeds[number], t.corePub[number], "")
	}
	for number := range routers {
		public := fmt.Sprintf("127.0.1.%d:2", number)
		t.routPub = append(t.routPub, public)
		settings := router.Settings{Place: place("router", number, public), Inner: setting.Inner{Inner: fmt.Sprintf("10.0.1.%d:1", number), Parts: 2}, Grace: 2000, Fresh: 1600, Silence: 1000}
		t.add(settings.Place.Name, settings.Inner.Inner, public, func(port simulation.Port) (daemon, error) {
			return router.New(settings, setting.Incarnation(), port)
		})
	}
	for number := range engines {
		t.engine(number, t.versions[0])
	}
}

// core adds a core; one of a name that is there already stands at a new address and
// with a new folder from its next start on.
func (t *stage) core(name, hall, inner, public, replaces string) {
	settings := core.Settings{
		Place: setting.Place{Name: name, Hall: hall, Fleet: "stage", Public: public, Seeds: t.seeds, RegionOf: t.regions},
		Inner: setting.Inner{Inner: inner, Parts: 2}, Replaces: replaces,
		Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Rewrite: 16, Data: filepath.Join(t.folder, name),
	}
	t.add(name, inner, public, func(port simulation.Port) (daemon, error) {
		made, err := core.New(settings, setting.Incarnation(), port)
		t.lock.Lock()
		t.cores[name] = made
		t.lock.Unlock()
		return made, err
	})
}

type daemon interface {
	Run(context.Context, core.Listeners) error
}

func (t *stage) add(name, inner, public string, make func(simulation.Port) (daemon, error)) {
	t.start[name] = func() func(context.Context) error {
		port := simulation.Port{Fabric: t.Fabric, Machine: name}
		each, err := make(port)
		if err != nil {
			t.Fatal(err)
		}
		listeners, err := core.Listen(port, inner, public)
		if err != nil {
			t.Fatal(err)
		}
		return func(ctx context.Context) error { return each.Run(ctx, listeners) }
	}
}

func (t *stage) engine(number int, version string) {
	name := fmt.Sprint("engine-", number)
	if t.observers[name] == nil {
		t.observers[name] = engine.NewObserver(3 * schedule.Second)
	}
	settings := engine.Settings{
		Name: name, Hall: t.halls[number%3], Service: t.service, Version: version, Address: fmt.Sprintf("127.0.2.%d:2", number),
		Cores: t.corePub, Slots: 8, Read: 20, Write: 8000, HandOver: t.handOver, Keep: t.keep, Lease: 3000,
	}
	t.start[name] = func() func(context.Context) error {
		port := simulation.Port{Fabric: t.Fabric, Machine: name}
		each, err := engine.New(settings, t.observers[name], port)
		if err != nil {
			t.Fatal(err)
		}
		each.Meddle = t.meddle
		t.lock.Lock()
		t.engines[name] = each
		t.lock.Unlock()
		listener, err := port.Listen(settings.Address)
		if err != nil {
			t.Fatal(err)
		}
		return func(ctx context.Context) error { return each.Run(ctx, listener) }
	}
}

func (t *stage) wake(name string) {
	running, stop := context.WithCancel(context.Background())
	run, done := t.start[name](), make(chan struct{})
	t.lives[name] = &life{stop, done}
	go func() {
		defer close(done)
		_ = run(running)
	}()
}

// kill closes everything of a daemon at once, and then lets it end unheard.
func (t *stage) kill(name string) {
	each, alive := t.lives[name]
	if !alive {
		return
	}
	delete(t.lives, name)
	t.Kill(name)
	each.stop()
	t.Kill(name)
	<-each.done
}

// polite stops a daemon as the platform does first.
func (t *stage) polite(name string) {
	each := t.lives[name]
	delete(t.lives, name)
	each.stop()
	<-each.done
}

func (t *stage) wipe(name string) {
	if err := os.RemoveAll(filepath.Join(t.folder, name)); err != nil {
		t.Fatal(err)
	}
}

func (t *stage) names() []string {
	var names []string
	for name := range t.start {
		names = append(names, name)
	}
	return names
}

func (t *stage) change() operator.Change {
	return operator.Change{Expect: -1, Target: operator.Target{Cores: t.corePub, Network: simulation.Port{Fabric: t.Fabric, Machine: "operator"}}}
}

func (t *stage) configure() {
	apply := &operator.Apply{Change: t.change()}
	apply.Arguments.File = t.document
	var err error
	for range 100 {
		if err = apply.Run(); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatal(err)
}

// during runs a load, has the failures happen in it, and checks what must never
// happen; it returns the figures for what the play expects besides.
func (t *stage) during(seconds int, fail func()) *load.Figures {
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(2 * time.Second)
		fail()
	}()
	figures := t.load(seconds)
	<-done
	figures.Print(t.Output(), false)
	for _, violation := range figures.Violations {
		t.Error(violation)
	}
	return figures
}

// leader is the core that owns the service's part.
func (t *stage) leader() string { return t.owner(1) }

func (t *stage) owner(part int) string {
	for _, address := range t.corePub {
		if overview := t.overview(address); len(overview.Parts) > part && overview.Parts[part].Owner {
			return overview.Name
		}
	}
	return ""
}

func (t *stage) overview(address string) core.Overview {
	var overview core.Overview
	target := operator.Target{Cores: []string{address}, Network: simulation.Port{Fabric: t.Fabric, Machine: "operator"}}
	_ = target.Get("/v1/status", &overview)
	return overview
}

// seated tells whether a core has a seat in every part and may vote.
func (t *stage) seated(address string) bool {
	overview := t.overview(address)
	for _, part := range overview.Parts {
		if part.Slot < 0 || part.Recovering || !part.Current {
			return false
		}
	}
	return len(overview.Parts) > 0
}

// recovers waits until a load is answered whole again, and says how long it took.
func (t *stage) recovers() time.Duration {
	begun := time.Now()
	for time.Since(begun) < 30*time.Second {
		if figures, err := t.drive(1); err == nil && figures.Endings["whole"] == figures.Sent {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begun)
}

func (t *stage) load(seconds int) *load.Figures {
	figures, err := t.drive(seconds)
	if err != nil {
		t.Fatal(err)
	}
	return figures
}

func (t *stage) drive(seconds int) (*load.Figures, error) {
	return t.rates(seconds, t.longRate, t.shortRate)
}

// crowd is a load of its own rates.
func (t *stage) crowd(seconds int, long, short float64) *load.Figures {
	figures, err := t.rates(seconds, long, short)
	if err != nil {
		t.Error(err)
	}
	return figures
}

func (t *stage) rates(seconds int, long, short float64) (*load.Figures, error) {
	run, err := load.New(load.Settings{
		Cores: t.corePub, Routers: t.routPub, Tenant: t.tenant, Long: t.long, Short: t.short,
		LongRate: long, ShortRate: short, Seconds: seconds, Seed: 1,
	}, simulation.Port{Fabric: t.Fabric, Machine: "caller"})
	if err != nil {
		t.Fatal(err)
	}
	return run.Drive(context.Background())
}

// begun is how many runs an engine's book has.
func (t *stage) begun(name string) int {
	var ledger engine.Ledger
	target := operator.Target{Cores: []string{"127.0.2." + name[len("engine-"):] + ":2"}, Network: simulation.Port{Fabric: t.Fabric, Machine: "operator"}}
	if err := target.Get(engine.LedgerPath, &ledger); err != nil {
		t.Error(err)
	}
	return len(ledger.Lines)
}
