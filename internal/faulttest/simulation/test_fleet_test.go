package simulation_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// testFleet is a fleet of real daemons on a memory network, under the virtual clock of
// testing/synctest.
type testFleet struct {
	*testing.T
	*simulation.MemoryNetwork
	deployment
	processes             map[string]*process
	observers             map[string]*emulator.Observer
	starters              map[string]func() func(context.Context) error
	engines               map[string]*emulator.Engine
	servers               map[string]*controlplane.Server
	lock                  sync.Mutex
	dataDirectory         string
	seeds                 []string
	serverAddresses       []string
	routerAddresses       []string
	responseMiddleware    func(http.Handler) http.Handler
	handoverMilliseconds  int
	retentionMilliseconds int
}

type process struct {
	stop context.CancelFunc
	done chan struct{}
}

// deployment is the size and the configuration of a fleet, and the load of its callers.
type deployment struct {
	document, service, tenant, longTemplate, shortTemplate string
	versions, zones                                        []string
	routerCount, engineCount                               int
	longRate, shortRate                                    float64
	regionOf                                               map[string]string
}

var defaultZones = []string{"norte", "centro", "sur"}

// smallDeployment returns a fleet for scenarios of one fault.
func smallDeployment() deployment {
	return deployment{
		document:      "../../../examples/asociacion.cue",
		service:       "reservas",
		tenant:        "asociacion",
		longTemplate:  "waiver",
		shortTemplate: "reply",
		versions:      []string{"r1", "r2"},
		zones:         defaultZones,
		routerCount:   3,
		engineCount:   6,
		longRate:      20,
		shortRate:     24,
	}
}

func TestMain(m *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	os.Exit(m.Run())
}

// newTestFleet returns a fleet without daemons, with its data in a directory.
func newTestFleet(t *testing.T, directory string, deployment deployment, latency clock.Microseconds) *testFleet {
	t.Helper()
	return &testFleet{
		T:                     t,
		MemoryNetwork:         simulation.NewMemoryNetwork(latency),
		deployment:            deployment,
		processes:             map[string]*process{},
		observers:             map[string]*emulator.Observer{},
		starters:              map[string]func() func(context.Context) error{},
		engines:               map[string]*emulator.Engine{},
		servers:               map[string]*controlplane.Server{},
		dataDirectory:         directory,
		handoverMilliseconds:  3000,
		retentionMilliseconds: 5000,
	}
}

// runScenario runs a scenario on the small deployment, in parallel to other tests.
func runScenario(t *testing.T, scenario func(*testFleet)) {
	t.Helper()
	runScenarioWithLatency(t, 200, scenario)
}

// runScenarioWithLatency runs a scenario on links whose every write takes the latency.
func runScenarioWithLatency(t *testing.T, latency clock.Microseconds, scenario func(*testFleet)) {
	t.Helper()
	runScenarioFor(t, smallDeployment(), latency, scenario)
}

// runScenarioFor starts the fleet of a deployment, applies its document, runs a scenario and stops it.
func runScenarioFor(t *testing.T, deployment deployment, latency clock.Microseconds, scenario func(*testFleet)) {
	t.Helper()
	t.Parallel()
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, directory, deployment, latency)
		defer fleet.shutDown()
		fleet.addDaemons(3, deployment.routerCount, deployment.engineCount)
		for name := range fleet.starters {
			fleet.startDaemon(name)
		}
		fleet.applyDocument()
		time.Sleep(5 * time.Second)
		scenario(fleet)
	})
}

// shutDown kills all daemons, reports the violations of the observers and waits until nothing is left
// running.
func (t *testFleet) shutDown() {
	for name := range t.processes {
		t.killDaemon(name)
	}
	for name, observer := range t.observers {
		for _, violation := range observer.Violations() {
			t.Errorf("%s: %s", name, violation)
		}
	}
	time.Sleep(2 * time.Minute)
}

func (t *testFleet) addDaemons(serverCount, routers, engines int) {
	for number := range serverCount {
		t.seeds = append(t.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		t.serverAddresses = append(t.serverAddresses, fmt.Sprintf("127.0.0.%d:2", number))
	}
	commonSettings := func(role string, number int, publicAddress string) settings.Common {
		return settings.Common{
			Name:         fmt.Sprintf("%s-%d", role, number),
			Zone:         t.zones[number%3],
			Fleet:        "stage",
			Public:       publicAddress,
			Seeds:        t.seeds,
			RegionByZone: t.regionOf,
		}
	}
	for number := range serverCount {
		t.addServer(fmt.Sprint("core-", number), t.zones[number%3], t.seeds[number], t.serverAddresses[number], "")
	}
	for number := range routers {
		publicAddress := fmt.Sprintf("127.0.1.%d:2", number)
		t.routerAddresses = append(t.routerAddresses, publicAddress)
		internalAddress := fmt.Sprintf("10.0.1.%d:1", number)
		daemonSettings := router.Settings{
			Common:             commonSettings("router", number, publicAddress),
			Internal:           settings.Internal{InternalAddress: internalAddress, Shards: 2},
			DrainTimeoutMillis: 2000,
			MaxStalenessMillis: 1600,
			StreamIdleMillis:   1000,
		}
		t.addDaemon(daemonSettings.Name, internalAddress, publicAddress, func(host simulation.Host) (daemon, error) {
			return router.New(daemonSettings, settings.NewIncarnation(), host)
		})
	}
	for number := range engines {
		t.addEngine(number, t.versions[0])
	}
}

// addServer adds a server. One with the name of an earlier one replaces it from its next start on.
func (t *testFleet) addServer(name, zone, internalAddress, publicAddress, replaces string) {
	server := t.serverSettings(name, zone, internalAddress, publicAddress)
	server.ReplaceMember = replaces
	t.addControlServer(server)
}

// serverSettings returns the settings of a server that may found the group.
func (t *testFleet) serverSettings(name, zone, internalAddress, publicAddress string) controlplane.Settings {
	return controlplane.Settings{
		Common: settings.Common{
			Name:         name,
			Zone:         zone,
			Fleet:        "stage",
			Public:       publicAddress,
			Seeds:        t.seeds,
			RegionByZone: t.regionOf,
		},
		Internal:      settings.Internal{InternalAddress: internalAddress, Shards: 2},
		Timing:        settings.Timing{DeltaMillis: 200, LeaseMillis: 3000},
		CompactionMiB: 16,
		DataDirectory: filepath.Join(t.dataDirectory, name),
	}
}

// addControlServer adds a server with its settings.
func (t *testFleet) addControlServer(daemonSettings controlplane.Settings) {
	name, internalAddress, publicAddress := daemonSettings.Name, daemonSettings.InternalAddress, daemonSettings.Public
	t.addDaemon(name, internalAddress, publicAddress, func(host simulation.Host) (daemon, error) {
		server, err := controlplane.New(daemonSettings, settings.NewIncarnation(), host)
		t.lock.Lock()
		t.servers[name] = server
		t.lock.Unlock()
		return server, err
	})
}

// daemon is a server or a router.
type daemon interface {
	Run(context.Context, transport.Listeners) error
}

// addDaemon adds a daemon, which create makes anew at each start.
func (t *testFleet) addDaemon(
	name, internalAddress, publicAddress string,
	create func(simulation.Host) (daemon, error),
) {
	t.starters[name] = func() func(context.Context) error {
		host := simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: name}
		created, err := create(host)
		if err != nil {
			t.Fatal(err)
		}
		listeners, err := transport.Listen(host, internalAddress, publicAddress)
		if err != nil {
			t.Fatal(err)
		}
		return func(ctx context.Context) error { return created.Run(ctx, listeners) }
	}
}

func (t *testFleet) addEngine(number int, version string) {
	name := fmt.Sprint("engine-", number)
	if t.observers[name] == nil {
		t.observers[name] = emulator.NewObserver(3 * clock.Second)
	}
	daemonSettings := emulator.Settings{
		Name:                    name,
		Zone:                    t.zones[number%3],
		Service:                 t.service,
		Version:                 version,
		Address:                 fmt.Sprintf("127.0.2.%d:2", number),
		ControlPlane:            t.serverAddresses,
		MaxRuns:                 8,
		PrefillMicroseconds:     20,
		DecodeMicroseconds:      8000,
		TransferMicroseconds:    t.handoverMilliseconds,
		KVRetentionMilliseconds: t.retentionMilliseconds,
		LeaseMilliseconds:       3000,
	}
	t.starters[name] = func() func(context.Context) error {
		host := simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: name}
		created, err := emulator.New(daemonSettings, t.observers[name], host)
		if err != nil {
			t.Fatal(err)
		}
		created.WrapHandler = t.responseMiddleware
		t.lock.Lock()
		t.engines[name] = created
		t.lock.Unlock()
		listener, err := host.Listen(daemonSettings.Address)
		if err != nil {
			t.Fatal(err)
		}
		return func(ctx context.Context) error { return created.Run(ctx, listener) }
	}
}

func (t *testFleet) startDaemon(name string) {
	ctx, stop := context.WithCancel(context.Background())
	run, done := t.starters[name](), make(chan struct{})
	t.processes[name] = &process{stop, done}
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
}

// killDaemon closes all connections of a daemon at once, and then waits until it has ended.
func (t *testFleet) killDaemon(name string) {
	running, alive := t.processes[name]
	if !alive {
		return
	}
	delete(t.processes, name)
	t.Kill(name)
	running.stop()
	t.Kill(name)
	<-running.done
}

// stopGracefully has a daemon shut down and waits until it has ended.
func (t *testFleet) stopGracefully(name string) {
	running := t.processes[name]
	delete(t.processes, name)
	running.stop()
	<-running.done
}

func (t *testFleet) wipeDisk(name string) {
	if err := os.RemoveAll(filepath.Join(t.dataDirectory, name)); err != nil {
		t.Fatal(err)
	}
}

func (t *testFleet) daemonNames() []string {
	var names []string
	for name := range t.starters {
		names = append(names, name)
	}
	return names
}

// newOperatorClient returns an operator's client for some addresses.
func (t *testFleet) newOperatorClient(addresses ...string) adminclient.Client {
	return adminclient.Client{
		Cores:   addresses,
		Network: simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: "operator"},
	}
}

// newChange returns the flags of a change at all servers, on whichever revision is the latest.
func (t *testFleet) newChange() adminclient.ChangeCommand {
	return adminclient.ChangeCommand{
		ExpectedRevision: -1,
		Client:           t.newOperatorClient(t.serverAddresses...),
	}
}

func (t *testFleet) applyDocument() {
	apply := &adminclient.Apply{ChangeCommand: t.newChange()}
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

// loadDuring runs a load, injects faults two seconds after its start and reports violations. It returns
// the results for the other expectations of a scenario.
func (t *testFleet) loadDuring(seconds int, injectFaults func()) *loadgen.Results {
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(2 * time.Second)
		injectFaults()
	}()
	results := t.runLoad(seconds)
	<-done
	results.Print(t.Output(), false)
	for _, violation := range results.Violations {
		t.Error(violation)
	}
	return results
}

// serviceLeader returns the server that leads the shard of the services, "" if none does.
func (t *testFleet) serviceLeader() string { return t.shardLeader(1) }

func (t *testFleet) shardLeader(shard int) string {
	for _, address := range t.serverAddresses {
		if overview := t.fetchOverview(address); len(overview.Shards) > shard && overview.Shards[shard].Owner {
			return overview.Name
		}
	}
	return ""
}

func (t *testFleet) fetchOverview(address string) controlapi.ServerStatus {
	var overview controlapi.ServerStatus
	target := t.newOperatorClient(address)
	_ = target.Get("/v1/status", &overview)
	return overview
}

// votesInAllShards reports whether a server is a member of every shard and may vote.
func (t *testFleet) votesInAllShards(address string) bool {
	overview := t.fetchOverview(address)
	for _, shard := range overview.Shards {
		if shard.Slot < 0 || shard.CatchingUp || !shard.UpToDate {
			return false
		}
	}
	return len(overview.Shards) > 0
}

// awaitRecovery waits until all requests of a load are complete again, and returns how long it took.
func (t *testFleet) awaitRecovery() time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < 30*time.Second {
		if results, err := t.attemptLoad(1); err == nil && results.Outcomes[loadgen.OutcomeComplete] == results.Sent {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(startedAt)
}

func (t *testFleet) runLoad(seconds int) *loadgen.Results {
	results, err := t.attemptLoad(seconds)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

func (t *testFleet) attemptLoad(seconds int) (*loadgen.Results, error) {
	return t.attemptLoadAt(seconds, t.longRate, t.shortRate)
}

// runSurge runs a load of its own rates.
func (t *testFleet) runSurge(seconds int, long, short float64) *loadgen.Results {
	results, err := t.attemptLoadAt(seconds, long, short)
	if err != nil {
		t.Error(err)
	}
	return results
}

func (t *testFleet) attemptLoadAt(seconds int, long, short float64) (*loadgen.Results, error) {
	generator, err := loadgen.New(loadgen.Settings{
		ControlPlane: t.serverAddresses,
		Routers:      t.routerAddresses,
		Tenant:       t.tenant,
		LongKind:     t.longTemplate,
		ShortKind:    t.shortTemplate,
		LongRate:     long,
		ShortRate:    short,
		Seconds:      seconds,
		Seed:         1,
	}, simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: "caller"})
	if err != nil {
		t.Fatal(err)
	}
	return generator.Run(context.Background())
}

// countEngineRuns returns the number of runs in an engine's run log.
func (t *testFleet) countEngineRuns(name string) int {
	var runLog emulator.RunLogResponse
	target := t.newOperatorClient("127.0.2." + name[len("engine-"):] + ":2")
	if err := target.Get(emulator.RunLogPath, &runLog); err != nil {
		t.Error(err)
	}
	return len(runLog.Records)
}

// daemonNumber returns the number at the end of a daemon's name, -1 if there is none.
func daemonNumber(name string) int {
	number, err := strconv.Atoi(name[strings.LastIndex(name, "-")+1:])
	if err != nil {
		return -1
	}
	return number
}

// newHTTPClient returns a client on a host of the network, which opens a connection for each request.
func (t *testFleet) newHTTPClient(host string) *http.Client {
	roundTripper := transport.NewHTTPTransport(transport.Options{
		Network: simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: host},
		Meter:   topology.NewTrafficMeter(""),
	})
	roundTripper.DisableKeepAlives = true
	return &http.Client{Transport: roundTripper}
}

// newGet returns a GET request that ends with the test.
func (t *testFleet) newGet(url string) *http.Request {
	return t.newRequest(http.MethodGet, url, nil)
}

// newPost returns a POST request with a JSON body that ends with the test.
func (t *testFleet) newPost(url string, body io.Reader) *http.Request {
	request := t.newRequest(http.MethodPost, url, body)
	request.Header.Set("Content-Type", "application/json")
	return request
}

// newRequest returns a request that ends with the test, also if what sends it is stopped before.
//
//nolint:contextcheck,nolintlint // (read by contextcheck at the callers) a request that has begun goes on when its sender is stopped
func (t *testFleet) newRequest(method, url string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	return request
}
