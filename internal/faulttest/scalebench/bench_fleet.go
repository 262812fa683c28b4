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
	"coursepass/internal/gossip"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Fixed properties of the daemons of a benchmark fleet.
const (
	fleetName      = "coursepass"
	shardCount     = 2
	deltaMs        = 200
	leaseMs        = 3000
	compactionMiB  = 16
	maxStalenessMs = 1600
	streamIdleMs   = 1000

	// failureCapacity is how many errors of daemons are kept until somebody looks at them.
	failureCapacity = 64

	pollInterval  = 100 * time.Millisecond
	clientTimeout = 2 * time.Second
)

// The roles by which a profile attributes processor time. Control plane servers have their names,
// which begin with serverRolePrefix.
const (
	roleRouters      = "routers"
	roleSimulated    = "hollow"
	roleEngines      = "engines"
	roleOperator     = "operator"
	roleRuntime      = "runtime"
	serverRolePrefix = "core-"
)

// The sockets of a daemon, for Environment.Address.
const (
	socketInternal = "inner"
	socketPublic   = "public"
)

// Environment is where a fleet runs: how its hosts reach each other, and at which addresses they
// listen.
type Environment struct {
	Network func(host string) transport.Network
	Address func(host, socket string) string
	// ProfileCPU attributes processor time to the roles of the fleet by a profile.
	ProfileCPU bool
}

// Loopback is the environment of a fleet on this machine's own network.
var Loopback = Environment{
	Network:    func(string) transport.Network { return transport.SystemNetwork },
	Address:    func(string, string) string { return "127.0.0.1:0" },
	ProfileCPU: true,
}

func (e Environment) listen(host string) (transport.Listeners, error) {
	return transport.Listen(e.Network(host), e.Address(host, socketInternal), e.Address(host, socketPublic))
}

// benchFleet is one fleet in this process. The goroutines of each daemon carry the label of its
// role, by which a profile attributes processor time.
type benchFleet struct {
	Environment
	// settings are those of all runs, Sizes those of this fleet.
	settings Settings
	Sizes

	clock  *clock.Clock
	group  sync.WaitGroup
	client *http.Client
	// running ends when the fleet is to end.
	running  context.Context
	failures chan error

	directory       *engineDirectory
	servers         []*controlplane.Server
	serverEndpoints []*daemonEndpoint
	routerEndpoints []*daemonEndpoint
	// seeds are the internal addresses of the control plane servers.
	seeds      []string
	stateCache *sharedStateCache
	// label is that of the last change that was acknowledged.
	label uint64

	// lock guards the fields below, by which simulated routers are replaced while others count.
	lock             sync.Mutex
	simulatedRouters []*simulatedRouter
	stopRouters      []context.CancelFunc
	// retiredCounters are those of simulated routers that were replaced.
	retiredCounters counterSnapshot
	routersStarted  int
}

// daemonEndpoint is the public side of a real daemon.
type daemonEndpoint struct {
	name, publicAddress string
	traffic             servedTraffic
}

// runWithRole runs a function, and all goroutines that it starts, with the label of a role.
func runWithRole(ctx context.Context, role string, run func(context.Context)) {
	pprof.Do(ctx, pprof.Labels("role", role), run)
}

// runDaemon runs a daemon in a goroutine of the fleet; an error before the end is a failure.
func (b *benchFleet) runDaemon(role string, run func(context.Context) error) {
	runWithRole(b.running, role, func(ctx context.Context) {
		b.group.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				b.failures <- err
			}
		})
	})
}

// startAll starts the fleet and waits until all daemons have the complete state.
func (b *benchFleet) startAll(directory string) error {
	b.directory = newEngineDirectory(b.settings, b.Sizes)
	if err := b.directory.serveReports(b); err != nil {
		return err
	}
	if err := b.startServers(directory); err != nil {
		return err
	}
	err := b.awaitCondition("a configuration", func() bool {
		return b.applyChange(completeRequest(b.Sizes, b.label+1, b.label)) == nil
	})
	if err != nil {
		return err
	}
	if b.settings.PollReports {
		if err := b.registerEngines(); err != nil {
			return err
		}
	}
	if err := b.startRouters(); err != nil {
		return err
	}
	return b.awaitCondition("the state at all routers", b.isSettled)
}

func (b *benchFleet) startRouters() error {
	for number := range b.settings.RealRouters {
		if err := b.startRealRouter(number); err != nil {
			return err
		}
	}
	for range b.Routers - b.settings.RealRouters {
		if err := b.startSimulatedRouter(len(b.simulatedRouters)); err != nil {
			return err
		}
		// Spread their periodic reads over the interval.
		time.Sleep((readInterval / clock.Microseconds(b.Routers)).Duration())
	}
	return nil
}

// startServers opens the sockets of all control plane servers, which are the seeds of each other,
// and then starts them.
func (b *benchFleet) startServers(directory string) error {
	var collected []transport.Listeners
	for number := range b.settings.Servers {
		name := fmt.Sprint(serverRolePrefix, number)
		listeners, err := b.listen(name)
		if err != nil {
			return err
		}
		b.seeds = append(b.seeds, listeners.Internal.Addr().String())
		endpoint := &daemonEndpoint{name: name, publicAddress: listeners.Public.Addr().String()}
		b.serverEndpoints = append(b.serverEndpoints, endpoint)
		listeners.Internal = newCountingListener(listeners.Internal, &endpoint.traffic)
		collected = append(collected, listeners)
	}
	for number, listeners := range collected {
		endpoint := b.serverEndpoints[number]
		server, err := controlplane.New(controlplane.Settings{
			Common:        b.commonSettings(number, endpoint),
			Internal:      settings.Internal{InternalAddress: b.seeds[number], Shards: shardCount},
			Timing:        settings.Timing{DeltaMillis: deltaMs, LeaseMillis: leaseMs},
			CompactionMiB: compactionMiB,
			DataDirectory: filepath.Join(directory, endpoint.name),
		}, settings.NewIncarnation(), b.Network(endpoint.name))
		if err != nil {
			return err
		}
		if !b.settings.PollReports {
			server.Attach(b.directory, b.directory)
		}
		b.servers = append(b.servers, server)
		b.runDaemon(endpoint.name, func(ctx context.Context) error { return server.Run(ctx, listeners) })
	}
	return nil
}

// commonSettings returns the settings that servers and real routers have in common.
func (b *benchFleet) commonSettings(number int, endpoint *daemonEndpoint) settings.Common {
	return settings.Common{
		Name:   endpoint.name,
		Zone:   b.settings.zoneName(number),
		Fleet:  fleetName,
		Public: endpoint.publicAddress,
		Seeds:  b.seeds,
	}
}

func (b *benchFleet) startRealRouter(number int) error {
	name := fmt.Sprintf("router-%d", number)
	listeners, err := b.listen(name)
	if err != nil {
		return err
	}
	endpoint := &daemonEndpoint{name: name, publicAddress: listeners.Public.Addr().String()}
	common := b.commonSettings(number, endpoint)
	created, err := router.New(router.Settings{
		Common:             common,
		Internal:           settings.Internal{InternalAddress: listeners.Internal.Addr().String(), Shards: shardCount},
		MaxStalenessMillis: maxStalenessMs,
		StreamIdleMillis:   streamIdleMs,
	}, settings.NewIncarnation(), b.Network(endpoint.name))
	if err != nil {
		return err
	}
	if !b.settings.PollReports {
		options := proxy.Options{Options: balancer.Options{Router: endpoint.name, Zone: common.Zone}}
		created.SetDataPlane(proxy.New(options, b.clock, nil))
	}
	listeners.Internal = newCountingListener(listeners.Internal, &endpoint.traffic)
	b.routerEndpoints = append(b.routerEndpoints, endpoint)
	b.runDaemon(roleRouters, func(ctx context.Context) error { return created.Run(ctx, listeners) })
	return nil
}

// startSimulatedRouter starts a simulated router at an index of the list, in place of the one that is
// there, if any.
func (b *benchFleet) startSimulatedRouter(index int) error {
	b.routersStarted++
	created, listener, err := newSimulatedRouter(simulatedRouterOptions{
		environment: b.Environment,
		number:      b.routersStarted,
		zone:        b.settings.zoneName(index),
		seeds:       b.seeds,
		stateCache:  b.stateCache,
	})
	if err != nil {
		return err
	}
	runWithRole(b.running, roleSimulated, func(labelledContext context.Context) {
		ctx, stop := context.WithCancel(labelledContext)
		b.lock.Lock()
		defer b.lock.Unlock()
		if index == len(b.simulatedRouters) {
			b.simulatedRouters = append(b.simulatedRouters, created)
			b.stopRouters = append(b.stopRouters, stop)
		} else {
			b.stopRouters[index]()
			b.retiredCounters.addSimulatedRouter(b.simulatedRouters[index])
			b.simulatedRouters[index] = created
			b.stopRouters[index] = stop
		}
		created.run(ctx, listener, &b.group)
	})
	return nil
}

// applyChange sends a change to one of the servers, which take turns, and keeps its label once it is
// acknowledged.
func (b *benchFleet) applyChange(request config.Request) error {
	server := b.servers[int(b.label)%len(b.servers)]
	outcome, err := server.Configure(b.running, request)
	if err == nil && outcome.Code != errcode.OK {
		err = errcode.New(outcome.Code, "%s", outcome.Text)
	}
	if err == nil {
		b.label = request.Routing.Label
	}
	return err
}

// registerEngines sends the registrations that real engines would send at their start.
func (b *benchFleet) registerEngines() error {
	for _, operation := range b.directory.registrations() {
		// A struct of strings and numbers can always be marshalled.
		text, _ := json.Marshal(operation.Engine)
		isRegistered := func() bool { return b.postJSON("/v1/engines", text) }
		if err := b.awaitCondition("the registration of an engine", isRegistered); err != nil {
			return err
		}
	}
	return nil
}

// isSettled reports whether all routers have the state of both shards, and the assignments of all
// services have every engine.
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
	for _, assignment := range b.engineView().Assignments {
		paired += len(assignment.Roles)
	}
	return paired == b.Engines
}

// engineView returns the engine registry as a simulated router has it.
func (b *benchFleet) engineView() registry.View {
	_, engines := b.encodedStates()
	view, _ := registry.DecodeView(engines)
	return view
}

// awaitCondition waits until a condition is reached. The error is that of a daemon that failed, or
// that the fleet has ended before.
func (b *benchFleet) awaitCondition(description string, reached func() bool) error {
	for !reached() {
		select {
		case err := <-b.failures:
			return err
		case <-b.running.Done():
			return errcode.New(errcode.ExecutionFailed, "not reached in time: %s", description)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Measure starts a fleet of one size, measures it and ends it.
func Measure(parent context.Context, environment Environment, benchSettings Settings, sizes Sizes) (Measurements, error) {
	directory, err := os.MkdirTemp("", "coursepass-scale-")
	if err != nil {
		return nil, errcode.Wrap(err, errcode.StartFailed, "data directory")
	}
	// What is left of a temporary directory harms nobody.
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, stop := context.WithCancel(parent)
	defer stop()
	roundTripper := transport.NewHTTPTransport(transport.Options{
		Network: environment.Network("operator"),
		Meter:   topology.NewTrafficMeter(""),
	})
	fleet := &benchFleet{
		Environment: environment,
		settings:    benchSettings,
		Sizes:       sizes,
		clock:       clock.New(),
		client:      &http.Client{Timeout: clientTimeout, Transport: roundTripper},
		running:     ctx,
		failures:    make(chan error, failureCapacity),
		stateCache:  &sharedStateCache{states: map[stateKey]gossip.State{}},
	}
	measurements, err := fleet.startAndMeasure(ctx, directory)
	configured, engines := fleet.encodedStates()
	stop()
	fleet.client.CloseIdleConnections()
	fleet.group.Wait()
	if err != nil {
		return nil, err
	}
	// What the fleet holds must not count in the memory of the states.
	fleet.simulatedRouters = nil
	fleet.servers = nil
	fleet.stateCache = nil
	fleet.directory = nil
	return append(measurements, sizes.measureState(configured, engines)...), nil
}

func (b *benchFleet) startAndMeasure(ctx context.Context, directory string) (Measurements, error) {
	if err := b.startAll(directory); err != nil {
		return nil, err
	}
	return b.measure(ctx)
}
