package main

import (
	"coursepass/internal/adminclient"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/localfleet"
	"coursepass/internal/faulttest/scalebench"
	"coursepass/platform"
)

// commands are all commands of the program. Flags and arguments are filled in by the flag parser.
type commands struct {
	Core              coreCommand                   `command:"core" description:"run a control plane server"`
	Router            routerCommand                 `command:"router" description:"run a data-plane router"`
	Engine            engineCommand                 `command:"engine" description:"run an emulated engine"`
	Fleet             fleetCommand                  `command:"fleet" description:"run a complete fleet on loopback in one process"`
	Load              loadCommand                   `command:"load" description:"generate load, measure it and check every answer"`
	Scale             scalebench.Settings           `command:"scale" description:"measure how messages, bytes, processor time and state grow with the size of a fleet"`
	Apply             adminclient.Apply             `command:"apply" description:"replace the configuration by a document"`
	SetParameters     adminclient.SetParameters     `command:"change" description:"change parameters of the configuration in force"`
	Rollback          adminclient.Rollback          `command:"rollback" description:"restore the previous document"`
	DrainRegion       adminclient.DrainRegion       `command:"drain-region" description:"schedule the maintenance of a region, or cancel it"`
	Evacuate          adminclient.Evacuate          `command:"evacuate" description:"keep new requests out of a zone, or let them back in"`
	ListEngines       adminclient.ListEngines       `command:"list" description:"list a service's engines"`
	DrainEngine       adminclient.DrainEngine       `command:"drain-engine" description:"mark an engine as draining, so that it gets no new requests"`
	ShowConfiguration adminclient.ShowConfiguration `command:"show" description:"show the configuration in force, or the outcome of an operation"`
	Credential        adminclient.Credential        `command:"credential" description:"make an API key for a tenant, or print the digest of one"`
	Platform          platform.Commands             `command:"platform" description:"run a daemon on the users' platform, with the platform's settings file"`
	Capacity          adminclient.Capacity          `command:"capacity" description:"show the wanted and the present number of engines of each service in each zone, and why"`
	Outbox            adminclient.Outbox            `command:"outbox" description:"show the calls to the platform that one daemon makes at a time: pending entries, their age, the last success of each kind"`
	Status            adminclient.Status            `command:"status" description:"show control plane servers with their leaders, terms and leases, routers and engines"`
}

type (
	coreCommand   struct{ controlplane.Settings }
	routerCommand struct{ router.Settings }
	engineCommand struct{ emulator.Settings }
	fleetCommand  struct {
		localfleet.Settings
		LogLevel string `long:"log-level" description:"lowest level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"warn"`
	}
	loadCommand struct{ loadgen.Settings }
)

// runner is a command. Run returns when the command has ended, with the reason if it failed.
type runner interface{ Run() error }

// byPath maps each command's path, as [settings.CommandPath] returns it, to the command.
func (c *commands) byPath() map[string]runner {
	return map[string]runner{
		"core":              &c.Core,
		"router":            &c.Router,
		"engine":            &c.Engine,
		"fleet":             &c.Fleet,
		"load":              &c.Load,
		"scale":             &c.Scale,
		"apply":             &c.Apply,
		"change":            &c.SetParameters,
		"rollback":          &c.Rollback,
		"drain-region":      &c.DrainRegion,
		"evacuate":          &c.Evacuate,
		"list":              &c.ListEngines,
		"drain-engine":      &c.DrainEngine,
		"show":              &c.ShowConfiguration,
		"status":            &c.Status,
		"outbox":            &c.Outbox,
		"capacity":          &c.Capacity,
		"credential new":    &c.Credential.New,
		"credential digest": &c.Credential.Digest,
		"platform router":   &c.Platform.Router,
		"platform core":     &c.Platform.Core,
	}
}

// settingsPath returns the path of the settings file that a command was given, empty if none.
func settingsPath(command runner) string {
	switch daemonCommand := command.(type) {
	case *coreCommand:
		return daemonCommand.Common.Settings
	case *routerCommand:
		return daemonCommand.Common.Settings
	case *engineCommand:
		return daemonCommand.SettingsFile
	}
	return ""
}
