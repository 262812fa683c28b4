// Command coursepass is a router fleet for split prefill and decode: the role is
// a subcommand.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/localfleet"
	"coursepass/internal/faulttest/scalebench"
	"coursepass/internal/settings"
	"coursepass/internal/transport"
	"coursepass/platform"
)

type commands struct {
	Core              coreCommand                   `command:"core" description:"run a control daemon"`
	Router            routerCommand                 `command:"router" description:"run a data-plane daemon"`
	Engine            engineCommand                 `command:"engine" description:"run a stand-in engine"`
	Fleet             fleetCommand                  `command:"fleet" description:"run a whole fleet on loopback in one process"`
	Load              loadCommand                   `command:"load" description:"generate load, measure it and check every answer"`
	Scale             scalebench.Settings           `command:"scale" description:"measure how messages, bytes, processor time and state grow with the size of a fleet"`
	Apply             adminclient.Apply             `command:"apply" description:"put a whole configuration in force"`
	SetParameters     adminclient.SetParameters     `command:"change" description:"change parameters of the configuration in force"`
	Rollback          adminclient.Rollback          `command:"turn-back" description:"put the document before the present one in force again"`
	DrainRegion       adminclient.DrainRegion       `command:"drain-region" description:"take work out of a region on a schedule, or take that back"`
	Evacuate          adminclient.Evacuate          `command:"evacuate" description:"take new work out of a hall, or let it back"`
	ListEngines       adminclient.ListEngines       `command:"list" description:"list a service's engines"`
	DrainEngine       adminclient.DrainEngine       `command:"leave" description:"mark an engine as leaving"`
	ShowConfiguration adminclient.ShowConfiguration `command:"show" description:"show the configuration in force, or an operation's outcome"`
	Platform          platform.Commands             `command:"platform" description:"run a role on the users' platform, by its settings file"`
	Status            adminclient.Status            `command:"status" description:"show leaders, rounds and grants"`
}

type coreCommand struct{ controlplane.Settings }
type routerCommand struct{ router.Settings }
type engineCommand struct{ emulator.Settings }
type fleetCommand struct{ localfleet.Settings }
type loadCommand struct{ loadgen.Settings }

type runner interface{ Run() error }

func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type daemon interface {
	Run(context.Context, controlplane.Listeners) error
}

// serve opens a daemon's sockets and runs it until it is stopped.
func serve(process daemon, common settings.Common, internal settings.Internal) error {
	listeners, err := controlplane.Listen(transport.SystemNetwork, internal.InternalAddress, common.Public)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	return process.Run(ctx, listeners)
}

// Run runs a core.
func (c *coreCommand) Run() error {
	configureLogging(c.LogLevel)
	controlDaemon, err := controlplane.New(c.Settings, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	return serve(controlDaemon, c.Common, c.Internal)
}

// Run runs a router.
func (r *routerCommand) Run() error {
	configureLogging(r.LogLevel)
	routerDaemon, err := router.New(r.Settings, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	return serve(routerDaemon, r.Common, r.Internal)
}

// Run runs a stand-in engine.
func (e *engineCommand) Run() error {
	configureLogging(e.LogLevel)
	observer := emulator.NewObserver(clock.Microseconds(e.LeaseMilliseconds) * clock.Millisecond)
	if e.Settings.RunLogFile != "" {
		executionLog, err := emulator.OpenRunLog(e.Settings.RunLogFile)
		if err != nil {
			return err
		}
		observer.RunLog = executionLog
	}
	emulatedEngine, err := emulator.New(e.Settings, observer, transport.SystemNetwork)
	if err != nil {
		return err
	}
	listener, err := transport.SystemNetwork.Listen(e.Address)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	return emulatedEngine.Run(ctx, listener)
}

// Run runs a fleet.
func (f *fleetCommand) Run() error {
	localFleet, err := localfleet.New(f.Settings)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	if f.Seconds > 0 {
		boundedCtx, cancel := context.WithTimeout(ctx, time.Duration(f.Seconds)*time.Second)
		defer cancel()
		ctx = boundedCtx
	}
	return localFleet.Run(ctx)
}

// Run runs a load.
func (l *loadCommand) Run() error {
	generator, err := loadgen.New(l.Settings, transport.SystemNetwork)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	results, err := generator.Run(ctx)
	if err != nil {
		return err
	}
	results.Print(os.Stdout, l.JSON)
	if count := len(results.Violations); count > 0 {
		return errcode.New(errcode.ExecutionFailed, "%d violations", count)
	}
	return nil
}

func configureLogging(name string) {
	log.DefaultLogger = log.Logger{Level: log.ParseLevel(name), TimeFormat: "2006-01-02T15:04:05.000000Z07:00", Writer: &log.IOWriter{Writer: os.Stderr}}
}

func settingsPath(command any) string {
	switch daemonCommand := command.(type) {
	case *coreCommand:
		return daemonCommand.Common.Settings
	case *routerCommand:
		return daemonCommand.Common.Settings
	case *engineCommand:
		return daemonCommand.Settings.SettingsFile
	}
	return ""
}

func main() {
	commandLine := &commands{}
	parser := flags.NewParser(commandLine, flags.HelpFlag|flags.PassDoubleDash)
	var selected any
	parser.CommandHandler = func(command flags.Commander, _ []string) error { return nil }
	_, err := parser.Parse()
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Println(flagsError.Message)
		return
	}
	if err != nil {
		exitWithError(errcode.Wrap(err, errcode.InvalidSetting, "flags"))
	}
	commandsByName := map[string]any{
		"core": &commandLine.Core, "router": &commandLine.Router, "engine": &commandLine.Engine, "fleet": &commandLine.Fleet, "load": &commandLine.Load, "scale": &commandLine.Scale, "apply": &commandLine.Apply,
		"change": &commandLine.SetParameters, "evacuate": &commandLine.Evacuate, "drain-region": &commandLine.DrainRegion, "turn-back": &commandLine.Rollback, "list": &commandLine.ListEngines, "leave": &commandLine.DrainEngine, "show": &commandLine.ShowConfiguration, "status": &commandLine.Status,
	}
	selected = commandsByName[parser.Active.Name]
	if parser.Active.Name == "platform" {
		selected = map[string]any{"router": &commandLine.Platform.Router, "core": &commandLine.Platform.Core}[parser.Active.Active.Name]
		configureLogging("info")
	}
	if err := settings.ReadFile(parser, settingsPath(selected), os.Args[1:]); err != nil {
		exitWithError(err)
	}
	if err := selected.(runner).Run(); err != nil {
		exitWithError(err)
	}
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, errcode.Text(err))
	os.Exit(1)
}
