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

func (ground Ground) listen(machine string) (core.Listeners, error) {
	return core.Listen(ground.Network(machine), ground.Address(machine, "inner"), ground.Address(machine, "public"))
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

func (stand *stand) launch(role string, act func(context.Context) error) {
	labelled(stand.running, role, func(running context.Context) {
		stand.group.Go(func() {
			if err := act(running); err != nil && running.Err() == nil {
				stand.failures <- err
			}
		})
	})
}

// begin brings the whole fleet up and waits until all daemons hold what is in force.
func (stand *stand) begin(folder string) error {
	stand.registry = newRegistry(stand.Settings, stand.Sizes)
	if err := stand.registry.begin(stand); err != nil {
		return err
	}
	if err := stand.beginCores(folder); err != nil {
		return err
	}
	if err := stand.await("a configuration", func() bool { return stand.configure(wholeRequest(stand.Sizes, stand.label+1, stand.label)) == nil }); err != nil {
		return err
	}
	if stand.Reports {
		if err := stand.enrol(); err != nil {
			return err
		}
	}
	for number := range stand.Real {
		if err := stand.beginRouter(number); err != nil {
			return err
		}
	}
	for range stand.Daemons - stand.Real {
		if err := stand.bear(len(stand.hollows)); err != nil {
			return err
		}
		// Their reads are not to fall together.
		time.Sleep((readEvery / schedule.Microseconds(stand.Daemons)).Duration())
	}
	return stand.await("the state at all routers", stand.settled)
}

func (stand *stand) beginCores(folder string) error {
	var all []core.Listeners
	for number := range stand.Settings.Cores {
		name := fmt.Sprintf("core-%d", number)
		listeners, err := stand.listen(name)
		if err != nil {
			return err
		}
		stand.seeds = append(stand.seeds, listeners.Inner.Addr().String())
		stand.coreSides = append(stand.coreSides, &side{name: name, public: listeners.Public.Addr().String()})
		listeners.Inner = counting(listeners.Inner, &stand.coreSides[number].served)
		all = append(all, listeners)
	}
	for number, listeners := range all {
		each := stand.coreSides[number]
		made, err := core.New(core.Settings{
			Place:   setting.Place{Name: each.name, Hall: stand.hall(number), Fleet: "coursepass", Public: each.public, Seeds: stand.seeds},
			Inner:   setting.Inner{Inner: stand.seeds[number], Parts: 2},
			Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Rewrite: 16, Data: filepath.Join(folder, each.name),
		}, setting.Incarnation(), stand.Network(each.name))
		if err != nil {
			return err
		}
		if !stand.Reports {
			made.Attach(stand.registry, stand.registry)
		}
		stand.cores = append(stand.cores, made)
		stand.launch(each.name, func(running context.Context) error { return made.Run(running, listeners) })
	}
	return nil
}

func (stand *stand) beginRouter(number int) error {
	name := fmt.Sprintf("router-%d", number)
	listeners, err := stand.listen(name)
	if err != nil {
		return err
	}
	each := &side{name: name, public: listeners.Public.Addr().String()}
	place := setting.Place{Name: each.name, Hall: stand.hall(number), Fleet: "coursepass", Public: each.public, Seeds: stand.seeds}
	made, err := router.New(router.Settings{
		Place: place, Inner: setting.Inner{Inner: listeners.Inner.Addr().String(), Parts: 2}, Fresh: 1600, Silence: 1000,
	}, setting.Incarnation(), stand.Network(each.name))
	if err != nil {
		return err
	}
	if !stand.Reports {
		made.Follow(carrier.New(carrier.Terms{Terms: pool.Terms{Router: each.name, Hall: place.Hall}}, stand.clock, nil))
	}
	listeners.Inner = counting(listeners.Inner, &each.served)
	stand.realSides = append(stand.realSides, each)
	stand.launch("routers", func(running context.Context) error { return made.Run(running, listeners) })
	return nil
}

// bear begins a hollow router at a place in the list, in the stead of one that is there.
func (stand *stand) bear(place int) error {
	stand.births++
	made, listener, err := newHollow(stand.Ground, stand.births, stand.hall(place), stand.seeds, stand.shared)
	if err != nil {
		return err
	}
	labelled(stand.running, "hollow", func(labelled context.Context) {
		running, stop := context.WithCancel(labelled)
		stand.lock.Lock()
		defer stand.lock.Unlock()
		if place == len(stand.hollows) {
			stand.hollows, stand.stops = append(stand.hollows, made), append(stand.stops, stop)
		} else {
			stand.stops[place]()
			stand.retired.add(stand.hollows[place])
			stand.hollows[place], stand.stops[place] = made, stop
		}
		made.run(running, listener, &stand.group)
	})
	return nil
}

func (stand *stand) configure(request configuration.Request) error {
	outcome, err := stand.cores[int(stand.label)%len(stand.cores)].Configure(stand.running, request)
	if err == nil && outcome.Code != mishap.Fine {
		err = mishap.New(outcome.Code, "%s", outcome.Text)
	}
	if err == nil {
		stand.label = request.Routing.Label
	}
	return err
}

func (stand *stand) enrol() error {
	for _, operation := range stand.registry.enrolments() {
		text, _ := json.Marshal(operation.Engine)
		if err := stand.await("an engine's enrolment", func() bool { return stand.post("/v1/engines", text) }); err != nil {
			return err
		}
	}
	return nil
}

// settled tells whether all hollow routers hold both parts and the contracts of all
// services name every engine.
func (stand *stand) settled() bool {
	stand.lock.Lock()
	defer stand.lock.Unlock()
	for _, each := range stand.hollows {
		if each.sequence[0].Load() == 0 || each.sequence[1].Load() == 0 {
			return false
		}
	}
	for _, each := range stand.realSides {
		var overview router.Overview
		if stand.get(each.public, "/v1/status", &overview) != nil || !overview.Ready {
			return false
		}
	}
	paired := 0
	for _, signed := range stand.engineView().Contracts {
		paired += len(signed.Parts)
	}
	return paired == stand.Engines
}

// engineView is part 1 as the first hollow router, or else a core, holds it.
func (stand *stand) engineView() catalogue.View {
	_, engines := stand.states()
	view, _ := catalogue.Read(engines)
	return view
}

// await tries until it is so, or the run ends.
func (stand *stand) await(what string, found func() bool) error {
	for !found() {
		select {
		case err := <-stand.failures:
			return err
		case <-stand.running.Done():
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

func (stand *stand) whole(folder string) (Figures, error) {
	if err := stand.begin(folder); err != nil {
		return nil, err
	}
	return stand.measure()
}
