// Package localfleet runs a complete fleet on loopback in one process: control plane servers,
// routers and emulated engines. Callers make a Fleet by New, which opens the servers' sockets, and
// call Run, which serves until its context ends.
package localfleet

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/settings"
	"coursepass/internal/transport"
)

// Fixed properties of the daemons of a local fleet.
const (
	fleetName         = "coursepass"
	shardCount        = 2
	compactionMiB     = 16
	drainTimeoutMs    = 2000
	maxStalenessMs    = 1600
	streamIdleMs      = 1000
	engineMaxRuns     = 8
	enginePrefillUs   = 20
	engineDecodeUs    = 8000
	engineTransferUs  = 3000
	engineRetentionMs = 5000
)

// Bounds of the settings.
const (
	maxDaemons          = 64
	maxControlPlaneSize = 7
)

// configurationTimeout is how long the configuration document is retried after the start.
const configurationTimeout = 30 * clock.Second

// Settings of a fleet.
type Settings struct {
	settings.Timing
	ControlPlaneServers int `long:"cores" description:"number of cores" default:"3"`
	Routers             int `long:"routers" description:"number of routers" default:"4"`
	Engines             int `long:"engines" description:"number of emulated engines" default:"12"`
	//lint:ignore SA5008 go-flags reads a repeated default tag as a list
	Zones             []string `long:"zone" description:"names of the zones" default:"norte" default:"centro" default:"sur"` //nolint:staticcheck // go-flags reads a repeated default tag as a list.
	Service           string   `long:"service" description:"the model service" default:"reservas"`
	Version           string   `long:"version" description:"the model version" default:"r1"`
	DataDirectory     string   `long:"data" description:"folder for the cores' data; a new one under the system's folder for temporary files if not given"`
	ConfigurationFile string   `long:"configuration" description:"CUE document to apply once the fleet has leaders" default:"examples/asociacion.cue"`
	Seconds           int      `long:"seconds" description:"stop after so many seconds; 0 runs until interrupted" default:"0"`
}

// Check returns errcode.InvalidSetting for settings that cannot work.
func (s Settings) Check() error {
	counts := map[string]int{
		"cores":   s.ControlPlaneServers,
		"routers": s.Routers,
		"engines": s.Engines,
	}
	for name, count := range counts {
		if count < 1 || count > maxDaemons {
			return errcode.New(errcode.InvalidSetting, "--%s: %d is not between 1 and %d", name, count, maxDaemons)
		}
	}
	if s.ControlPlaneServers%2 == 0 || s.ControlPlaneServers > maxControlPlaneSize {
		return errcode.New(errcode.InvalidSetting,
			"--cores: %d is not an odd number up to %d", s.ControlPlaneServers, maxControlPlaneSize)
	}
	if len(s.Zones) == 0 {
		return errcode.New(errcode.InvalidSetting, "--zone is needed at least once")
	}
	return s.Timing.Check()
}

// Fleet is a fleet of daemons, each of which runs in goroutines of this process.
type Fleet struct {
	Settings
	// ControlPlaneAddresses and RouterAddresses are the public addresses; those of the routers are
	// known once Run has started them.
	ControlPlaneAddresses []string
	RouterAddresses       []string

	// seeds are the internal addresses of the control plane servers.
	seeds                 []string
	controlPlaneListeners []transport.Listeners
	group                 sync.WaitGroup
	// failures has room for one error of each daemon.
	failures chan error
}

// New makes a fleet from settings, which it checks, and opens the sockets of the control plane
// servers on free ports.
func New(options Settings) (*Fleet, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	daemonCount := options.ControlPlaneServers + options.Routers + options.Engines
	fleet := &Fleet{Settings: options, failures: make(chan error, daemonCount)}
	for range options.ControlPlaneServers {
		listeners, err := openListeners()
		if err != nil {
			return nil, err
		}
		fleet.controlPlaneListeners = append(fleet.controlPlaneListeners, listeners)
		fleet.seeds = append(fleet.seeds, listeners.Internal.Addr().String())
		fleet.ControlPlaneAddresses = append(fleet.ControlPlaneAddresses, listeners.Public.Addr().String())
	}
	return fleet, nil
}

func openListeners() (transport.Listeners, error) {
	return transport.Listen(transport.SystemNetwork, "127.0.0.1:0", "127.0.0.1:0")
}

// zoneOf distributes the daemons of a kind over the zones.
func (f *Fleet) zoneOf(number int) string { return f.Zones[number%len(f.Zones)] }

// daemonSettings returns the settings that servers and routers have in common.
func (f *Fleet) daemonSettings(role string, number int, listeners transport.Listeners) (settings.Common, settings.Internal) {
	common := settings.Common{
		Name:   fmt.Sprintf("%s-%d", role, number),
		Zone:   f.zoneOf(number),
		Fleet:  fleetName,
		Public: listeners.Public.Addr().String(),
		Seeds:  f.seeds,
	}
	internal := settings.Internal{
		InternalAddress: listeners.Internal.Addr().String(),
		Shards:          shardCount,
	}
	return common, internal
}

// launch runs a daemon in a goroutine of the fleet and passes its error on.
func (f *Fleet) launch(run func() error) {
	f.group.Go(func() {
		if err := run(); err != nil {
			f.failures <- err
		}
	})
}

// Run starts all daemons, applies the configuration document, prints the daemons' addresses and serves
// until the context ends. It returns at once with the first error of a daemon.
func (f *Fleet) Run(parent context.Context) error {
	runContext, stop := context.WithCancel(parent)
	defer stop()
	data := f.DataDirectory
	if data == "" {
		directory, err := os.MkdirTemp("", "coursepass-fleet-")
		if err != nil {
			return errcode.Wrap(err, errcode.StartFailed, "data directory")
		}
		// What is left of a temporary directory harms nobody.
		defer func() { _ = os.RemoveAll(directory) }()
		data = directory
	}
	if err := f.startDaemons(runContext, data); err != nil {
		return err
	}
	go func() {
		f.applyConfiguration()
		f.printAddresses(os.Stdout)
	}()
	select {
	case err := <-f.failures:
		return err
	case <-parent.Done():
	}
	stop()
	f.group.Wait()
	return nil
}

func (f *Fleet) startDaemons(runContext context.Context, data string) error {
	for number, listeners := range f.controlPlaneListeners {
		if err := f.startServer(runContext, number, listeners, data); err != nil {
			return err
		}
	}
	for number := range f.Routers {
		if err := f.startRouter(runContext, number); err != nil {
			return err
		}
	}
	for number := range f.Engines {
		if err := f.startEngine(runContext, number); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startServer(runContext context.Context, number int, listeners transport.Listeners, data string) error {
	common, internalSettings := f.daemonSettings("core", number, listeners)
	instance, err := controlplane.New(controlplane.Settings{
		Common:        common,
		Internal:      internalSettings,
		Timing:        f.Timing,
		CompactionMiB: compactionMiB,
		DataDirectory: filepath.Join(data, common.Name),
	}, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	f.launch(func() error { return instance.Run(runContext, listeners) })
	return nil
}

func (f *Fleet) startRouter(runContext context.Context, number int) error {
	listeners, err := openListeners()
	if err != nil {
		return err
	}
	common, internalSettings := f.daemonSettings("router", number, listeners)
	instance, err := router.New(router.Settings{
		Common:             common,
		Internal:           internalSettings,
		DrainTimeoutMillis: drainTimeoutMs,
		MaxStalenessMillis: maxStalenessMs,
		StreamIdleMillis:   streamIdleMs,
	}, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	f.RouterAddresses = append(f.RouterAddresses, common.Public)
	f.launch(func() error { return instance.Run(runContext, listeners) })
	return nil
}

func (f *Fleet) startEngine(runContext context.Context, number int) error {
	listener, err := transport.SystemNetwork.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	options := emulator.Settings{
		Name:                    fmt.Sprintf("engine-%d", number),
		Zone:                    f.zoneOf(number),
		Service:                 f.Service,
		Version:                 f.Version,
		Address:                 listener.Addr().String(),
		ControlPlane:            f.ControlPlaneAddresses,
		MaxRuns:                 engineMaxRuns,
		PrefillMicroseconds:     enginePrefillUs,
		DecodeMicroseconds:      engineDecodeUs,
		TransferMicroseconds:    engineTransferUs,
		KVRetentionMilliseconds: engineRetentionMs,
		LeaseMilliseconds:       f.LeaseMillis,
	}
	instance, err := emulator.New(options, emulator.NewObserver(f.LeaseDuration()), transport.SystemNetwork)
	if err != nil {
		return err
	}
	f.launch(func() error { return instance.Run(runContext, listener) })
	return nil
}

// printAddresses prints the flags with which other commands find this fleet, on a line of their own after a blank
// one: logs and what the configuration brought may stand before them.
func (f *Fleet) printAddresses(output io.Writer) {
	var arguments []string
	for _, address := range f.ControlPlaneAddresses {
		arguments = append(arguments, "--core "+address)
	}
	for _, address := range f.RouterAddresses {
		arguments = append(arguments, "--router "+address)
	}
	_, _ = fmt.Fprintf(output, "\nThe fleet is running. Flags for other commands:\n%s\n", strings.Join(arguments, " "))
}

// applyConfiguration applies the configuration document, and retries while the fleet has no leader
// yet. Other errors are printed; the fleet goes on without the document.
func (f *Fleet) applyConfiguration() {
	if f.ConfigurationFile == "" {
		return
	}
	apply := &adminclient.Apply{ChangeCommand: adminclient.ChangeCommand{
		Client: adminclient.Client{Cores: f.ControlPlaneAddresses},
		Key:    "fleet-start",
	}}
	apply.Arguments.File = f.ConfigurationFile
	stopwatch := clock.New()
	for stopwatch.Now() < configurationTimeout {
		err := apply.Run()
		if err == nil {
			return
		}
		switch errcode.CodeOf(err, errcode.OutcomeUnknown) {
		case errcode.NotLeader, errcode.NoQuorum, errcode.ConnectionLost:
			// No leader yet: try again.
		default:
			fmt.Println(errcode.Text(err))
			return
		}
	}
}
