// Package fleet brings up a whole fleet on loopback in one process.
package fleet

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
	setting.Lengths
	Cores   int `long:"cores" description:"number of cores" default:"3"`
	Routers int `long:"routers" description:"number of routers" default:"4"`
	Engines int `long:"engines" description:"number of stand-in engines" default:"12"`
	//lint:ignore SA5008 go-flags reads a repeated default tag as a list
	Halls         []string `long:"hall" description:"names of the halls" default:"norte" default:"centro" default:"sur"`
	Service       string   `long:"service" description:"the model service" default:"reservas"`
	Version       string   `long:"version" description:"the model version" default:"r1"`
	Data          string   `long:"data" description:"folder for the cores' data; a new one under the system's folder for temporary files if not given"`
	Configuration string   `long:"configuration" description:"CUE document to apply once the fleet leads" default:"examples/asociacion.cue"`
	Seconds       int      `long:"seconds" description:"stop after so many seconds; 0 runs until interrupted" default:"0"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	for name, count := range map[string]int{"cores": s.Cores, "routers": s.Routers, "engines": s.Engines} {
		if count < 1 || count > 64 {
			return mishap.New(mishap.SettingBad, "--%s: %d is not between 1 and 64", name, count)
		}
	}
	if s.Cores%2 == 0 || s.Cores > 7 {
		return mishap.New(mishap.SettingBad, "--cores: %d is not an odd number up to 7", s.Cores)
	}
	if len(s.Halls) == 0 {
		return mishap.New(mishap.SettingBad, "--hall is needed at least once")
	}
	return s.Lengths.Check()
}

// Fleet is a running fleet.
type Fleet struct {
	Settings
	CoreAddresses   []string
	RouterAddresses []string
	seeds           []string
	cores           []core.Listeners
	group           sync.WaitGroup
	failures        chan error
}

// New opens all sockets, on ports that the system gives.
func New(settings Settings) (*Fleet, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	fleet := &Fleet{Settings: settings, failures: make(chan error, settings.Cores+settings.Routers+settings.Engines)}
	for range settings.Cores {
		listeners, err := open()
		if err != nil {
			return nil, err
		}
		fleet.cores = append(fleet.cores, listeners)
		fleet.seeds = append(fleet.seeds, listeners.Inner.Addr().String())
		fleet.CoreAddresses = append(fleet.CoreAddresses, listeners.Public.Addr().String())
	}
	return fleet, nil
}

func open() (core.Listeners, error) {
	return core.Listen(circuit.System, "127.0.0.1:0", "127.0.0.1:0")
}

func (f *Fleet) place(role string, number int, listeners core.Listeners) (setting.Place, setting.Inner) {
	return setting.Place{
		Name: fmt.Sprintf("%s-%d", role, number), Hall: f.Halls[number%len(f.Halls)], Fleet: "coursepass",
		Public: listeners.Public.Addr().String(), Seeds: f.seeds,
	}, setting.Inner{Inner: listeners.Inner.Addr().String(), Parts: 2}
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
	running, stop := context.WithCancel(parent)
	defer stop()
	data := f.Data
	if data == "" {
		folder, err := os.MkdirTemp("", "coursepass-fleet-")
		if err != nil {
			return mishap.Wrap(err, mishap.StartFailed, "data folder")
		}
		defer os.RemoveAll(folder)
		data = folder
	}
	for number, listeners := range f.cores {
		place, inner := f.place("core", number, listeners)
		each, err := core.New(core.Settings{
			Place: place, Inner: inner, Lengths: f.Lengths, Rewrite: 16,
			Data: filepath.Join(data, place.Name),
		}, setting.Incarnation(), circuit.System)
		if err != nil {
			return err
		}
		f.launch(func() error { return each.Run(running, listeners) })
	}
	for number := range f.Routers {
		if err := f.startRouter(running, number); err != nil {
			return err
		}
	}
	for number := range f.Engines {
		if err := f.startEngine(running, number); err != nil {
			return err
		}
	}
	f.show()
	go f.configure()
	select {
	case err := <-f.failures:
		return err
	case <-parent.Done():
	}
	stop()
	f.group.Wait()
	return nil
}

func (f *Fleet) startRouter(running context.Context, number int) error {
	listeners, err := open()
	if err != nil {
		return err
	}
	place, inner := f.place("router", number, listeners)
	each, err := router.New(router.Settings{Place: place, Inner: inner, Grace: 2000, Fresh: 1600, Silence: 1000}, setting.Incarnation(), circuit.System)
	if err != nil {
		return err
	}
	f.RouterAddresses = append(f.RouterAddresses, place.Public)
	f.launch(func() error { return each.Run(running, listeners) })
	return nil
}

func (f *Fleet) startEngine(running context.Context, number int) error {
	listener, err := circuit.System.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	settings := engine.Settings{
		Name: fmt.Sprintf("engine-%d", number), Hall: f.Halls[number%len(f.Halls)], Service: f.Service, Version: f.Version,
		Address: listener.Addr().String(), Cores: f.CoreAddresses, Slots: 8, Read: 20, Write: 8000, HandOver: 3000, Keep: 5000, Lease: f.Lease,
	}
	each, err := engine.New(settings, engine.NewObserver(f.LeaseSpan()), circuit.System)
	if err != nil {
		return err
	}
	f.launch(func() error { return each.Run(running, listener) })
	return nil
}

func (f *Fleet) show() {
	for _, address := range f.CoreAddresses {
		fmt.Printf("--core %s ", address)
	}
	for _, address := range f.RouterAddresses {
		fmt.Printf("--router %s ", address)
	}
	fmt.Println()
}

func (f *Fleet) configure() {
	if f.Configuration == "" {
		return
	}
	apply := &operator.Apply{Change: operator.Change{Target: operator.Target{Cores: f.CoreAddresses}, Expect: 0, Key: "fleet-start"}}
	apply.Arguments.File = f.Configuration
	begun := schedule.NewClock()
	for begun.Now() < 30*schedule.Second {
		err := apply.Run()
		if err == nil {
			return
		}
		if code := mishap.CodeOf(err, mishap.OutcomeUnknown); code != mishap.NotOwner && code != mishap.NoMajority && code != mishap.CircuitLost {
			fmt.Println(mishap.Text(err))
			return
		}
	}
}
