package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Ground is what a fleet stands on: how its machines reach each other, and at which
// addresses they listen. Profiled says that processor time is to be told apart there.
type Ground struct {
	Network  func(machine string) circuit.Network
	Address  func(machine, socket string) string
	Profiled bool
}

// Loopback is this machine's own network.
var Loopback = Ground{
	Network:  func(string) circuit.Network { return circuit.System },
	Address:  func(string, string) string { return "127.0.0.1:0" },
	Profiled: true,
}

func (e Ground) listen(machine string) (core.Listeners, error) {
	return core.Listen(e.Network(machine), e.Address(machine, "inner"), e.Address(machine, "public"))
}

// stand is one fleet in this process. Whatever a daemon starts carries its label, by which
// a profile parts the processor time.
type stand struct {
	Ground
	Settings
	Sizes
	clock     *schedule.Clock
	group     sync.WaitGroup
	running   context.Context
	failures  chan error
	registry  *registry
	cores     []*core.Core
	coreSides []*side
	realSides []*side
	seeds     []string
	shared    *sharedAdvance
	lock      sync.Mutex
	hollows   []*hollow
	stops     []context.CancelFunc
	retired   snapshot
	births    int
	label     uint64
	client    *http.Client
}

// side is what others see of a real daemon.
type side struct {
	name, public string
	served       served
}

func labelled(running context.Context, role string, act func(context.Context)) {
	pprof.Do(running, pprof.Labels("role", role), act)
}

func (b *stand) launch(role string, act func(context.Context) error) {
	labelled(b.running, role, func(running context.Context) {
		b.group.Go(func() {
			if err := act(running); err != nil && running.Err() == nil {
				b.failures <- err
			}
		})
	})
}

// begin brings the whole fleet up and waits until all daemons hold what is in force.
func (b *stand) begin(folder string) error {
	b.registry = newRegistry(b.Settings, b.Sizes)
	if err := b.registry.begin(b); err != nil {
		return err
	}
	if err := b.beginCores(folder); err != nil {
		return err
	}
	if err := b.await("a configuration", func() bool { return b.configure(wholeRequest(b.Sizes, b.label+1, b.label)) == nil }); err != nil {
		return err
	}
	if b.Reports {
		if err := b.enrol(); err != nil {
			return err
		}
	}
	for number := range b.Real {
		if err := b.beginRouter(number); err != nil {
			return err
		}
	}
	for range b.Daemons - b.Real {
		if err := b.bear(len(b.hollows)); err != nil {
			return err
		}
		// Their reads are not to fall together.
		time.Sleep((readEvery / schedule.Microseconds(b.Daemons)).Duration())
	}
	return b.await("the state at all routers", b.settled)
}

func (b *stand) beginCores(folder string) error {
	var all []core.Listeners
	for number := range b.Settings.Cores {
		name := fmt.Sprintf("core-%d", number)
		listeners, err := b.listen(name)
		if err != nil {
			return err
		}
		b.seeds = append(b.seeds, listeners.Inner.Addr().String())
		b.coreSides = append(b.coreSides, &side{name: name, public: listeners.Public.Addr().String()})
		listeners.Inner = counting(listeners.Inner, &b.coreSides[number].served)
		all = append(all, listeners)
	}
	for number, listeners := range all {
		each := b.coreSides[number]
		made, err := core.New(core.Settings{
			Place:   setting.Place{Name: each.name, Hall: b.hall(number), Fleet: "coursepass", Public: each.public, Seeds: b.seeds},
			Inner:   setting.Inner{Inner: b.seeds[number], Parts: 2},
			Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Rewrite: 16, Data: filepath.Join(folder, each.name),
		}, setting.Incarnation(), b.Network(each.name))
		if err != nil {
			return err
		}
		if !b.Reports {
			made.Attach(b.registry, b.registry)
		}
		b.cores = append(b.cores, made)
		b.launch(each.name, func(running context.Context) error { return made.Run(running, listeners) })
	}
	return nil
}

func (b *stand) beginRouter(number int) error {
	name := fmt.Sprintf("router-%d", number)
	listeners, err := b.listen(name)
	if err != nil {
		return err
	}
	each := &side{name: name, public: listeners.Public.Addr().String()}
	place := setting.Place{Name: each.name, Hall: b.hall(number), Fleet: "coursepass", Public: each.public, Seeds: b.seeds}
	made, err := router.New(router.Settings{
		Place: place, Inner: setting.Inner{Inner: listeners.Inner.Addr().String(), Parts: 2}, Fresh: 1600, Silence: 1000,
	}, setting.Incarnation(), b.Network(each.name))
	if err != nil {
		return err
	}
	if !b.Reports {
		made.Follow(carrier.New(carrier.Terms{Terms: pool.Terms{Router: each.name, Hall: place.Hall}}, b.clock, nil))
	}
	listeners.Inner = counting(listeners.Inner, &each.served)
	b.realSides = append(b.realSides, each)
	b.launch("routers", func(running context.Context) error { return made.Run(running, listeners) })
	return nil
}

// bear begins a hollow router at a place in the list, in the stead of one that is there.
func (b *stand) bear(place int) error {
	b.births++
	made, listener, err := newHollow(b.Ground, b.births, b.hall(place), b.seeds, b.shared)
	if err != nil {
		return err
	}
	labelled(b.running, "hollow", func(labelled context.Context) {
		running, stop := context.WithCancel(labelled)
		b.lock.Lock()
		defer b.lock.Unlock()
		if place == len(b.hollows) {
			b.hollows, b.stops = append(b.hollows, made), append(b.stops, stop)
		} else {
			b.stops[place]()
			b.retired.add(b.hollows[place])
			b.hollows[place], b.stops[place] = made, stop
		}
		made.run(running, listener, &b.group)
	})
	return nil
}

func (b *stand) configure(request configuration.Request) error {
	outcome, err := b.cores[int(b.label)%len(b.cores)].Configure(b.running, request)
	if err == nil && outcome.Code != mishap.Fine {
		err = mishap.New(outcome.Code, "%s", outcome.Text)
	}
	if err == nil {
		b.label = request.Routing.Label
	}
	return err
}

func (b *stand) enrol() error {
	for _, operation := range b.registry.enrolments() {
		text, _ := json.Marshal(operation.Engine)
		if err := b.await("an engine's enrolment", func() bool { return b.post("/v1/engines", text) }); err != nil {
			return err
		}
	}
	return nil
}

// settled tells whether all hollow routers hold both parts and the contracts of all
// services name every engine.
func (b *stand) settled() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, each := range b.hollows {
		if each.sequence[0].Load() == 0 || each.sequence[1].Load() == 0 {
			return false
		}
	}
	for _, each := range b.realSides {
		var overview router.Overview
		if b.get(each.public, "/v1/status", &overview) != nil || !overview.Ready {
			return false
		}
	}
	paired := 0
	for _, signed := range b.engineView().Contracts {
		paired += len(signed.Parts)
	}
	return paired == b.Engines
}

// engineView is part 1 as the first hollow router, or else a core, holds it.
func (b *stand) engineView() catalogue.View {
	_, engines := b.states()
	view, _ := catalogue.Read(engines)
	return view
}

// await tries until it is so, or the run ends.
func (b *stand) await(what string, found func() bool) error {
	for !found() {
		select {
		case err := <-b.failures:
			return err
		case <-b.running.Done():
			return mishap.New(mishap.RunFailed, "not reached in time: %s", what)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// Measure brings up a fleet of one size, measures it and ends it.
func Measure(parent context.Context, ground Ground, settings Settings, sizes Sizes) (Figures, error) {
	folder, err := os.MkdirTemp("", "coursepass-scale-")
	if err != nil {
		return nil, mishap.Wrap(err, mishap.StartFailed, "data folder")
	}
	defer os.RemoveAll(folder)
	running, stop := context.WithCancel(parent)
	transport := circuit.NewTransport(circuit.Options{Network: ground.Network("operator"), Meter: hall.NewMeter("")})
	stand := &stand{
		Ground: ground, Settings: settings, Sizes: sizes, clock: schedule.NewClock(), running: running, failures: make(chan error, 64),
		shared: &sharedAdvance{made: map[[3]uint64][]byte{}}, client: &http.Client{Timeout: 2 * time.Second, Transport: transport},
	}
	figures, err := stand.whole(folder)
	configured, engines := stand.states()
	stop()
	stand.client.CloseIdleConnections()
	stand.group.Wait()
	if err != nil {
		return nil, err
	}
	stand.hollows, stand.cores, stand.shared, stand.registry = nil, nil, nil, nil
	return append(figures, sizes.weigh(configured, engines)...), nil
}

func (b *stand) whole(folder string) (Figures, error) {
	if err := b.begin(folder); err != nil {
		return nil, err
	}
	return b.measure()
}
