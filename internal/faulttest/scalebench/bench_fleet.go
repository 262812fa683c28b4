package scalebench

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

// Environment is what a fleet stands on: how its machines reach each other, and at which
// addresses they listen. Profiled says that processor time is to be told apart there.
type Environment struct {
	Network    func(host string) transport.Network
	Address    func(host, socket string) string
	ProfileCPU bool
}

// Loopback is this machine's own network.
var Loopback = Environment{
	Network:    func(string) transport.Network { return transport.SystemNetwork },
	Address:    func(string, string) string { return "127.0.0.1:0" },
	ProfileCPU: true,
}

func (e Environment) listen(host string) (transport.Listeners, error) {
	return transport.Listen(e.Network(host), e.Address(host, "inner"), e.Address(host, "public"))
}

// benchFleet is one fleet in this process. Whatever a daemon starts carries its label, by which
// a profile parts the processor time.
type benchFleet struct {
	Environment
	Settings
	Sizes
	clock            *clock.Clock
	group            sync.WaitGroup
	running          context.Context
	failures         chan error
	directory        *engineDirectory
	servers          []*controlplane.Server
	serverEndpoints  []*daemonEndpoint
	routerEndpoints  []*daemonEndpoint
	seeds            []string
	stateCache       *sharedStateCache
	lock             sync.Mutex
	simulatedRouters []*simulatedRouter
	stopRouters      []context.CancelFunc
	retiredCounters  counterSnapshot
	routersStarted   int
	label            uint64
	client           *http.Client
}

// daemonEndpoint is what others see of a real daemon.
type daemonEndpoint struct {
	name, publicAddress string
	traffic             servedTraffic
}

func runWithRole(ctx context.Context, role string, run func(context.Context)) {
	pprof.Do(ctx, pprof.Labels("role", role), run)
}

func (b *benchFleet) runDaemon(role string, run func(context.Context) error) {
	runWithRole(b.running, role, func(ctx context.Context) {
		b.group.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				b.failures <- err
			}
		})
	})
}

// startAll brings the whole fleet up and waits until all daemons hold what is in force.
func (b *benchFleet) startAll(directory string) error {
	b.directory = newEngineDirectory(b.Settings, b.Sizes)
	if err := b.directory.serveReports(b); err != nil {
		return err
	}
	if err := b.startServers(directory); err != nil {
		return err
	}
	if err := b.awaitCondition("a configuration", func() bool { return b.applyChange(completeRequest(b.Sizes, b.label+1, b.label)) == nil }); err != nil {
		return err
	}
	if b.PollReports {
		if err := b.registerEngines(); err != nil {
			return err
		}
	}
	for number := range b.RealRouters {
		if err := b.startRealRouter(number); err != nil {
			return err
		}
	}
	for range b.Routers - b.RealRouters {
		if err := b.startSimulatedRouter(len(b.simulatedRouters)); err != nil {
			return err
		}
		// Their reads are not to fall together.
		time.Sleep((readInterval / clock.Microseconds(b.Routers)).Duration())
	}
	return b.awaitCondition("the state at all routers", b.isSettled)
}

func (b *benchFleet) startServers(directory string) error {
	var collected []transport.Listeners
	for number := range b.Settings.Servers {
		name := fmt.Sprintf("core-%d", number)
		listeners, err := b.listen(name)
		if err != nil {
			return err
		}
		b.seeds = append(b.seeds, listeners.Internal.Addr().String())
		b.serverEndpoints = append(b.serverEndpoints, &daemonEndpoint{name: name, publicAddress: listeners.Public.Addr().String()})
		listeners.Internal = newCountingListener(listeners.Internal, &b.serverEndpoints[number].traffic)
		collected = append(collected, listeners)
	}
	for number, listeners := range collected {
		endpoint := b.serverEndpoints[number]
		server, err := controlplane.New(controlplane.Settings{
			Common:   settings.Common{Name: endpoint.name, Zone: b.zoneName(number), Fleet: "coursepass", Public: endpoint.publicAddress, Seeds: b.seeds},
			Internal: settings.Internal{InternalAddress: b.seeds[number], Shards: 2},
			Timing:   settings.Timing{DeltaMillis: 200, LeaseMillis: 3000}, CompactionMiB: 16, DataDirectory: filepath.Join(directory, endpoint.name),
		}, settings.NewIncarnation(), b.Network(endpoint.name))
		if err != nil {
			return err
		}
		if !b.PollReports {
			server.Attach(b.directory, b.directory)
		}
		b.servers = append(b.servers, server)
		b.runDaemon(endpoint.name, func(ctx context.Context) error { return server.Run(ctx, listeners) })
	}
	return nil
}

func (b *benchFleet) startRealRouter(number int) error {
	name := fmt.Sprintf("router-%d", number)
	listeners, err := b.listen(name)
	if err != nil {
		return err
	}
	endpoint := &daemonEndpoint{name: name, publicAddress: listeners.Public.Addr().String()}
	placement := settings.Common{Name: endpoint.name, Zone: b.zoneName(number), Fleet: "coursepass", Public: endpoint.publicAddress, Seeds: b.seeds}
	created, err := router.New(router.Settings{
		Common: placement, Internal: settings.Internal{InternalAddress: listeners.Internal.Addr().String(), Shards: 2}, MaxStalenessMillis: 1600, StreamIdleMillis: 1000,
	}, settings.NewIncarnation(), b.Network(endpoint.name))
	if err != nil {
		return err
	}
	if !b.PollReports {
		created.SetDataPlane(proxy.New(proxy.Options{Options: balancer.Options{Router: endpoint.name, Zone: placement.Zone}}, b.clock, nil))
	}
	listeners.Internal = newCountingListener(listeners.Internal, &endpoint.traffic)
	b.routerEndpoints = append(b.routerEndpoints, endpoint)
	b.runDaemon("routers", func(ctx context.Context) error { return created.Run(ctx, listeners) })
	return nil
}

// startSimulatedRouter begins a hollow router at a place in the list, in the stead of one that is there.
func (b *benchFleet) startSimulatedRouter(index int) error {
	b.routersStarted++
	created, listener, err := newSimulatedRouter(b.Environment, b.routersStarted, b.zoneName(index), b.seeds, b.stateCache)
	if err != nil {
		return err
	}
	runWithRole(b.running, "hollow", func(labelledContext context.Context) {
		ctx, stop := context.WithCancel(labelledContext)
		b.lock.Lock()
		defer b.lock.Unlock()
		if index == len(b.simulatedRouters) {
			b.simulatedRouters, b.stopRouters = append(b.simulatedRouters, created), append(b.stopRouters, stop)
		} else {
			b.stopRouters[index]()
			b.retiredCounters.addSimulatedRouter(b.simulatedRouters[index])
			b.simulatedRouters[index], b.stopRouters[index] = created, stop
		}
		created.run(ctx, listener, &b.group)
	})
	return nil
}

func (b *benchFleet) applyChange(request config.Request) error {
	outcome, err := b.servers[int(b.label)%len(b.servers)].Configure(b.running, request)
	if err == nil && outcome.Code != errcode.OK {
		err = errcode.New(outcome.Code, "%s", outcome.Text)
	}
	if err == nil {
		b.label = request.Routing.Label
	}
	return err
}

func (b *benchFleet) registerEngines() error {
	for _, operation := range b.directory.registrations() {
		text, _ := json.Marshal(operation.Engine)
		if err := b.awaitCondition("an engine's enrolment", func() bool { return b.postJSON("/v1/engines", text) }); err != nil {
			return err
		}
	}
	return nil
}

// isSettled tells whether all hollow routers hold both parts and the contracts of all
// services name every engine.
func (b *benchFleet) isSettled() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, daemon := range b.simulatedRouters {
		if daemon.revisions[0].Load() == 0 || daemon.revisions[1].Load() == 0 {
			return false
		}
	}
	for _, daemon := range b.routerEndpoints {
		var overview router.Status
		if b.getJSON(daemon.publicAddress, "/v1/status", &overview) != nil || !overview.Ready {
			return false
		}
	}
	paired := 0
	for _, assignment := range b.engineView().Contracts {
		paired += len(assignment.Parts)
	}
	return paired == b.Engines
}

// engineView is part 1 as the first hollow router, or else a core, holds it.
func (b *benchFleet) engineView() registry.View {
	_, engines := b.encodedStates()
	view, _ := registry.DecodeView(engines)
	return view
}

// awaitCondition tries until it is so, or the run ends.
func (b *benchFleet) awaitCondition(description string, reached func() bool) error {
	for !reached() {
		select {
		case err := <-b.failures:
			return err
		case <-b.running.Done():
			return errcode.New(errcode.ExecutionFailed, "not reached in time: %s", description)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// Measure brings up a fleet of one size, measures it and ends it.
func Measure(parent context.Context, environment Environment, benchSettings Settings, sizes Sizes) (Measurements, error) {
	directory, err := os.MkdirTemp("", "coursepass-scale-")
	if err != nil {
		return nil, errcode.Wrap(err, errcode.StartFailed, "data folder")
	}
	defer os.RemoveAll(directory)
	ctx, stop := context.WithCancel(parent)
	roundTripper := transport.NewHTTPTransport(transport.Options{Network: environment.Network("operator"), Meter: topology.NewTrafficMeter("")})
	fleet := &benchFleet{
		Environment: environment, Settings: benchSettings, Sizes: sizes, clock: clock.New(), running: ctx, failures: make(chan error, 64),
		stateCache: &sharedStateCache{states: map[[3]uint64][]byte{}}, client: &http.Client{Timeout: 2 * time.Second, Transport: roundTripper},
	}
	measurements, err := fleet.startAndMeasure(directory)
	configured, engines := fleet.encodedStates()
	stop()
	fleet.client.CloseIdleConnections()
	fleet.group.Wait()
	if err != nil {
		return nil, err
	}
	fleet.simulatedRouters, fleet.servers, fleet.stateCache, fleet.directory = nil, nil, nil, nil
	return append(measurements, sizes.measureState(configured, engines)...), nil
}

func (b *benchFleet) startAndMeasure(directory string) (Measurements, error) {
	if err := b.startAll(directory); err != nil {
		return nil, err
	}
	return b.measure()
}
