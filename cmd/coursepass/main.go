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
	Core        coreCommand          `command:"core" description:"run a control daemon"`
	Router      routerCommand        `command:"router" description:"run a data-plane daemon"`
	Engine      engineCommand        `command:"engine" description:"run a stand-in engine"`
	Fleet       fleetCommand         `command:"fleet" description:"run a whole fleet on loopback in one process"`
	Load        loadCommand          `command:"load" description:"generate load, measure it and check every answer"`
	Scale       scale.Settings       `command:"scale" description:"measure how messages, bytes, processor time and state grow with the size of a fleet"`
	Apply       operator.Apply       `command:"apply" description:"put a whole configuration in force"`
	Change      operator.Small       `command:"change" description:"change parameters of the configuration in force"`
	TurnBack    operator.TurnBack    `command:"turn-back" description:"put the document before the present one in force again"`
	DrainRegion operator.DrainRegion `command:"drain-region" description:"take work out of a region on a schedule, or take that back"`
	Evacuate    operator.Evacuate    `command:"evacuate" description:"take new work out of a hall, or let it back"`
	List        operator.List        `command:"list" description:"list a service's engines"`
	Leave       operator.Leave       `command:"leave" description:"mark an engine as leaving"`
	Show        operator.Show        `command:"show" description:"show the configuration in force, or an operation's outcome"`
	Platform    platform.Commands    `command:"platform" description:"run a role on the users' platform, by its settings file"`
	Status      operator.Status      `command:"status" description:"show leaders, rounds and grants"`
}

type coreCommand struct{ core.Settings }
type routerCommand struct{ router.Settings }
type engineCommand struct{ engine.Settings }
type fleetCommand struct{ fleet.Settings }
type loadCommand struct{ load.Settings }

type runner interface{ Run() error }

func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type daemon interface {
	Run(context.Context, core.Listeners) error
}

// serve opens a daemon's sockets and runs it until it is stopped.
func serve(each daemon, place setting.Place, inner setting.Inner) error {
	listeners, err := core.Listen(circuit.System, inner.Inner, place.Public)
	if err != nil {
		return err
	}
	running, stop := untilStopped()
	defer stop()
	return each.Run(running, listeners)
}

// Run runs a core.
func (c *coreCommand) Run() error {
	level(c.Level)
	each, err := core.New(c.Settings, setting.Incarnation(), circuit.System)
	if err != nil {
		return err
	}
	return serve(each, c.Place, c.Inner)
}

// Run runs a router.
func (r *routerCommand) Run() error {
	level(r.Level)
	each, err := router.New(r.Settings, setting.Incarnation(), circuit.System)
	if err != nil {
		return err
	}
	return serve(each, r.Place, r.Inner)
}

// Run runs a stand-in engine.
func (e *engineCommand) Run() error {
	level(e.Level)
	observer := engine.NewObserver(schedule.Microseconds(e.Lease) * schedule.Millisecond)
	if e.Settings.Book != "" {
		book, err := engine.OpenBook(e.Settings.Book)
		if err != nil {
			return err
		}
		observer.Book = book
	}
	each, err := engine.New(e.Settings, observer, circuit.System)
	if err != nil {
		return err
	}
	listener, err := circuit.System.Listen(e.Address)
	if err != nil {
		return err
	}
	running, stop := untilStopped()
	defer stop()
	return each.Run(running, listener)
}

// Run runs a fleet.
func (f *fleetCommand) Run() error {
	whole, err := fleet.New(f.Settings)
	if err != nil {
		return err
	}
	running, stop := untilStopped()
	defer stop()
	if f.Seconds > 0 {
		bounded, cancel := context.WithTimeout(running, time.Duration(f.Seconds)*time.Second)
		defer cancel()
		running = bounded
	}
	return whole.Run(running)
}

// Run runs a load.
func (l *loadCommand) Run() error {
	run, err := load.New(l.Settings, circuit.System)
	if err != nil {
		return err
	}
	running, stop := untilStopped()
	defer stop()
	figures, err := run.Drive(running)
	if err != nil {
		return err
	}
	figures.Print(os.Stdout, l.JSON)
	if count := len(figures.Violations); count > 0 {
		return mishap.New(mishap.RunFailed, "%d violations", count)
	}
	return nil
}

func level(name string) {
	log.DefaultLogger = log.Logger{Level: log.ParseLevel(name), TimeFormat: "2006-01-02T15:04:05.000000Z07:00", Writer: &log.IOWriter{Writer: os.Stderr}}
}

func settingsOf(command any) string {
	switch each := command.(type) {
	case *coreCommand:
		return each.Place.Settings
	case *routerCommand:
		return each.Place.Settings
	case *engineCommand:
		return each.Settings.Settings
	}
	return ""
}

func main() {
	all := &commands{}
	parser := flags.NewParser(all, flags.HelpFlag|flags.PassDoubleDash)
	var chosen any
	parser.CommandHandler = func(command flags.Commander, _ []string) error { return nil }
	_, err := parser.Parse()
	var said *flags.Error
	if errors.As(err, &said) && said.Type == flags.ErrHelp {
		fmt.Println(said.Message)
		return
	}
	if err != nil {
		fail(mishap.Wrap(err, mishap.SettingBad, "flags"))
	}
	byName := map[string]any{
		"core": &all.Core, "router": &all.Router, "engine": &all.Engine, "fleet": &all.Fleet, "load": &all.Load, "scale": &all.Scale, "apply": &all.Apply,
		"change": &all.Change, "evacuate": &all.Evacuate, "drain-region": &all.DrainRegion, "turn-back": &all.TurnBack, "list": &all.List, "leave": &all.Leave, "show": &all.Show, "status": &all.Status,
	}
	chosen = byName[parser.Active.Name]
	if parser.Active.Name == "platform" {
		chosen = map[string]any{"router": &all.Platform.Router, "core": &all.Platform.Core}[parser.Active.Active.Name]
		level("info")
	}
	if err := setting.ReadFile(parser, settingsOf(chosen), os.Args[1:]); err != nil {
		fail(err)
	}
	if err := chosen.(runner).Run(); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, mishap.Text(err))
	os.Exit(1)
}
