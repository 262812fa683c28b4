// Package localfleet brings up a whole fleet on loopback in one process.
package localfleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
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

// Settings of a fleet.
type Settings struct {
	settings.Timing
	ControlPlaneServers int `long:"cores" description:"number of cores" default:"3"`
	Routers             int `long:"routers" description:"number of routers" default:"4"`
	Engines             int `long:"engines" description:"number of emulated engines" default:"12"`
	//lint:ignore SA5008 go-flags reads a repeated default tag as a list
	Zones             []string `long:"zone" description:"names of the zones" default:"norte" default:"centro" default:"sur"`
	Service           string   `long:"service" description:"the model service" default:"reservas"`
	Version           string   `long:"version" description:"the model version" default:"r1"`
	DataDirectory     string   `long:"data" description:"folder for the cores' data; a new one under the system's folder for temporary files if not given"`
	ConfigurationFile string   `long:"configuration" description:"CUE document to apply once the fleet has leaders" default:"examples/asociacion.cue"`
	Seconds           int      `long:"seconds" description:"stop after so many seconds; 0 runs until interrupted" default:"0"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	for name, count := range map[string]int{"cores": s.ControlPlaneServers, "routers": s.Routers, "engines": s.Engines} {
		if count < 1 || count > 64 {
			return errcode.New(errcode.InvalidSetting, "--%s: %d is not between 1 and 64", name, count)
		}
	}
	if s.ControlPlaneServers%2 == 0 || s.ControlPlaneServers > 7 {
		return errcode.New(errcode.InvalidSetting, "--cores: %d is not an odd number up to 7", s.ControlPlaneServers)
	}
	if len(s.Zones) == 0 {
		return errcode.New(errcode.InvalidSetting, "--zone is needed at least once")
	}
	return s.Timing.Check()
}

// Fleet is a running fleet.
type Fleet struct {
	Settings
	ControlPlaneAddresses []string
	RouterAddresses       []string
	seeds                 []string
	controlPlaneListeners []transport.Listeners
	group                 sync.WaitGroup
	failures              chan error
}

// New opens all sockets, on ports that the system gives.
func New(options Settings) (*Fleet, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	fleet := &Fleet{Settings: options, failures: make(chan error, options.ControlPlaneServers+options.Routers+options.Engines)}
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

func (f *Fleet) daemonSettings(role string, number int, listeners transport.Listeners) (settings.Common, settings.Internal) {
	return settings.Common{
		Name: fmt.Sprintf("%s-%d", role, number), Zone: f.Zones[number%len(f.Zones)], Fleet: "coursepass",
		Public: listeners.Public.Addr().String(), Seeds: f.seeds,
	}, settings.Internal{InternalAddress: listeners.Internal.Addr().String(), Shards: 2}
}

func (f *Fleet) launch(run func() error) {
	f.group.Go(func() {
		if err := run(); err != nil {
			f.failures <- err
		}
	})
}

// Run brings the fleet up and serves until the context ends.
func (f *Fleet) Run(parent context.Context) error {
	runContext, stop := context.WithCancel(parent)
	defer stop()
	data := f.DataDirectory
	if data == "" {
		directory, err := os.MkdirTemp("", "coursepass-fleet-")
		if err != nil {
			return errcode.Wrap(err, errcode.StartFailed, "data folder")
		}
		defer os.RemoveAll(directory)
		data = directory
	}
	for number, listeners := range f.controlPlaneListeners {
		identity, internalSettings := f.daemonSettings("core", number, listeners)
		instance, err := controlplane.New(controlplane.Settings{
			Common: identity, Internal: internalSettings, Timing: f.Timing, CompactionMiB: 16,
			DataDirectory: filepath.Join(data, identity.Name),
		}, settings.NewIncarnation(), transport.SystemNetwork)
		if err != nil {
			return err
		}
		f.launch(func() error { return instance.Run(runContext, listeners) })
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
	f.printAddresses()
	go f.applyConfiguration()
	select {
	case err := <-f.failures:
		return err
	case <-parent.Done():
	}
	stop()
	f.group.Wait()
	return nil
}

func (f *Fleet) startRouter(runContext context.Context, number int) error {
	listeners, err := openListeners()
	if err != nil {
		return err
	}
	identity, internalSettings := f.daemonSettings("router", number, listeners)
	instance, err := router.New(router.Settings{Common: identity, Internal: internalSettings, DrainTimeoutMillis: 2000, MaxStalenessMillis: 1600, StreamIdleMillis: 1000}, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	f.RouterAddresses = append(f.RouterAddresses, identity.Public)
	f.launch(func() error { return instance.Run(runContext, listeners) })
	return nil
}

func (f *Fleet) startEngine(runContext context.Context, number int) error {
	listener, err := transport.SystemNetwork.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	options := emulator.Settings{
		Name: fmt.Sprintf("engine-%d", number), Zone: f.Zones[number%len(f.Zones)], Service: f.Service, Version: f.Version,
		Address: listener.Addr().String(), ControlPlane: f.ControlPlaneAddresses, MaxRuns: 8, PrefillMicroseconds: 20, DecodeMicroseconds: 8000, TransferMicroseconds: 3000, KVRetentionMilliseconds: 5000, LeaseMilliseconds: f.LeaseMillis,
	}
	instance, err := emulator.New(options, emulator.NewObserver(f.LeaseDuration()), transport.SystemNetwork)
	if err != nil {
		return err
	}
	f.launch(func() error { return instance.Run(runContext, listener) })
	return nil
}

func (f *Fleet) printAddresses() {
	for _, address := range f.ControlPlaneAddresses {
		fmt.Printf("--core %s ", address)
	}
	for _, address := range f.RouterAddresses {
		fmt.Printf("--router %s ", address)
	}
	fmt.Println()
}

func (f *Fleet) applyConfiguration() {
	if f.ConfigurationFile == "" {
		return
	}
	apply := &adminclient.Apply{ChangeCommand: adminclient.ChangeCommand{Client: adminclient.Client{Cores: f.ControlPlaneAddresses}, ExpectedRevision: 0, Key: "fleet-start"}}
	apply.Arguments.File = f.ConfigurationFile
	stopwatch := clock.New()
	for stopwatch.Now() < 30*clock.Second {
		err := apply.Run()
		if err == nil {
			return
		}
		if code := errcode.CodeOf(err, errcode.OutcomeUnknown); code != errcode.NotLeader && code != errcode.NoQuorum && code != errcode.ConnectionLost {
			fmt.Println(errcode.Text(err))
			return
		}
	}
}
