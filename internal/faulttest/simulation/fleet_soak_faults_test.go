package simulation_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/simulation"
)

// faultInjectors are the faults of the fleet soak, by name.
var faultInjectors = map[string]func(*fleetSoak){
	"crowd":              func(soak *fleetSoak) { soak.startSurge(60, 80) },
	"long prompts":       func(soak *fleetSoak) { soak.startSurge(60, 0) },
	"long answers":       func(soak *fleetSoak) { soak.startSurge(0, 60) },
	"engine crashes":     func(soak *fleetSoak) { soak.killDaemons(soak.randomDaemon("engine")) },
	"all engines return": (*fleetSoak).restartAllEngines,
	"engine dark":        func(soak *fleetSoak) { soak.isolateDaemon(soak.randomDaemon("engine")) },
	"engine frozen":      func(soak *fleetSoak) { soak.freezeDaemon(soak.randomDaemon("engine"), 6000) },
	"engine replaced":    (*fleetSoak).upgradeEngine,
	"slow engine links":  (*fleetSoak).delayEngineLinks,
	"memory lapses":      (*fleetSoak).evictPromptCaches,
	"core killed":        func(soak *fleetSoak) { soak.killDaemons(soak.randomDaemon("core")) },
	"all cores killed":   func(soak *fleetSoak) { soak.killDaemons(soak.daemonsOfRole("core")...) },
	"core frozen":        func(soak *fleetSoak) { soak.freezeDaemon(soak.randomDaemon("core"), 3000) },
	"core isolated":      func(soak *fleetSoak) { soak.isolateDaemon(soak.randomDaemon("core")) },
	"cores split":        (*fleetSoak).partitionServers,
	"one-way cut":        func(soak *fleetSoak) { soak.Partition(soak.randomDaemon("core"), soak.randomDaemon("core")) },
	"core wiped":         (*fleetSoak).wipeOneServer,
	"all cores wiped":    (*fleetSoak).wipeAllServers,
	"core moves":         (*fleetSoak).moveServer,
	"router killed":      func(soak *fleetSoak) { soak.killDaemons(soak.randomDaemon("router")) },
	"router stopped":     (*fleetSoak).stopRandomRouter,
	"router isolated":    func(soak *fleetSoak) { soak.isolateDaemon(soak.randomDaemon("router")) },
	"router frozen":      func(soak *fleetSoak) { soak.freezeDaemon(soak.randomDaemon("router"), 4000) },
	"herd":               (*fleetSoak).crashServersAndRouters,
	"router suspended":   func(soak *fleetSoak) { soak.Suspend(soak.randomDaemon("router"), 5*clock.Second) },
	"core suspended":     func(soak *fleetSoak) { soak.Suspend(soak.randomDaemon("core"), 5*clock.Second) },
	"hall lost":          (*fleetSoak).crashZone,
	"slow disk": func(soak *fleetSoak) {
		soak.SlowDisk(soak.randomDaemon("core"), clock.Microseconds(100+soak.random.IntN(900))*clock.Millisecond)
	},
	"stalled disk":         func(soak *fleetSoak) { soak.StallDisk(soak.randomDaemon("core")) },
	"leader's disk stalls": func(soak *fleetSoak) { soak.StallDisk(soak.serviceLeader()) },
	"full disk":            (*fleetSoak).fillServerDisk,
	"torn disk":            (*fleetSoak).tearServerLog,
}

func faultNames() []string { return slices.Sorted(maps.Keys(faultInjectors)) }

func (f *fleetSoak) daemonsOfRole(role string) []string {
	var names []string
	for name := range f.starters {
		if strings.HasPrefix(name, role) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *fleetSoak) randomDaemon(role string) string {
	names := f.daemonsOfRole(role)
	name := names[f.random.IntN(len(names))]
	f.recordTrace("  %s", name)
	return name
}

func (f *fleetSoak) isolateDaemon(name string) { f.Isolate(name, f.daemonNames()) }

func (f *fleetSoak) freezeDaemon(name string, maximum int) {
	f.Freeze(name, clock.Microseconds(200+f.random.IntN(maximum-200))*clock.Millisecond)
}

// startSurge starts a short load of high rates besides the seeded one, under keys of its own.
func (f *fleetSoak) startSurge(long, short float64) {
	seed := f.random.Uint64()
	f.surges.Go(func() {
		generator, err := loadgen.New(loadgen.Settings{
			ControlPlane: f.serverAddresses,
			Routers:      f.routerAddresses,
			Tenant:       f.tenant,
			LongKind:     f.longTemplate,
			ShortKind:    f.shortTemplate,
			LongRate:     3 * long,
			ShortRate:    3 * short,
			Seconds:      2,
			Seed:         seed,
		}, simulation.Host{MemoryNetwork: f.MemoryNetwork, Name: "crowd"})
		if err != nil {
			f.Error(err)
			return
		}
		results, err := generator.Run(f.Context())
		if err != nil {
			f.recordTrace("surge: %v", err)
			return
		}
		for _, violation := range results.Violations {
			f.reportViolation("surge: %s", violation)
		}
	})
}

func (f *fleetSoak) restartAllEngines() {
	f.killDaemons(f.daemonsOfRole("engine")...)
	time.Sleep(time.Second)
	for _, name := range f.daemonsOfRole("engine") {
		f.restartDaemon(name)
	}
}

// upgradeEngine replaces an engine: it is listed as leaving, shut down gracefully and started with
// another model version.
func (f *fleetSoak) upgradeEngine() {
	name := f.randomDaemon("engine")
	// Only a registered incarnation can be marked as leaving: one that has just started may not be.
	if f.downDaemons[name] || time.Since(f.restartedAt[name]) < 3*time.Second || !f.markEngineLeaving(name) {
		return
	}
	time.Sleep(3500 * time.Millisecond)
	f.stopGracefully(name)
	f.addEngine(daemonNumber(name), f.versions[f.random.IntN(2)])
	f.restartDaemon(name)
}

func (f *fleetSoak) delayEngineLinks() {
	for _, from := range f.daemonsOfRole("engine") {
		for _, to := range f.daemonsOfRole("engine") {
			f.DelayLink(from, to, clock.Microseconds(f.random.IntN(80))*clock.Millisecond)
		}
	}
}

func (f *fleetSoak) evictPromptCaches() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, engine := range f.engines {
		engine.DropKVCaches()
	}
}

func (f *fleetSoak) partitionServers() {
	for _, name := range f.daemonsOfRole("core") {
		f.Isolate(name, f.daemonsOfRole("core"))
	}
}

// wipeOneServer loses the disk of one server, if all others still have theirs.
func (f *fleetSoak) wipeOneServer() {
	if f.diskWiped {
		return
	}
	f.diskWiped = true
	name := f.randomDaemon("core")
	f.killDaemons(name)
	f.wipeDisk(name)
	time.Sleep(time.Duration(f.random.IntN(2000)) * time.Millisecond)
	f.restartDaemon(name)
}

// wipeAllServers loses the disks of all servers; the routers keep their state.
func (f *fleetSoak) wipeAllServers() {
	if f.diskWiped {
		return
	}
	f.diskWiped = true
	for _, name := range f.daemonsOfRole("core") {
		f.killDaemons(name)
		f.wipeDisk(name)
	}
	time.Sleep(500 * time.Millisecond)
	f.healAll()
}

// moveServer has a server come back with an empty disk at a new address, once.
func (f *fleetSoak) moveServer() {
	if f.diskWiped {
		return
	}
	f.diskWiped = true
	name := f.randomDaemon("core")
	f.killDaemons(name)
	f.wipeDisk(name)
	number := daemonNumber(name)
	f.addServer(name, f.zones[number], fmt.Sprintf("10.0.5.%d:1", number), f.serverAddresses[number], "")
	f.restartDaemon(name)
}

func (f *fleetSoak) stopRandomRouter() {
	name := f.randomDaemon("router")
	if f.downDaemons[name] {
		return
	}
	f.stopGracefully(name)
	f.downDaemons[name] = true
}

// crashServersAndRouters kills all servers and most routers within milliseconds of an acknowledgement.
func (f *fleetSoak) crashServersAndRouters() {
	f.sendSmallChange()
	time.Sleep(time.Duration(f.random.IntN(5)) * time.Millisecond)
	f.killDaemons(append(f.daemonsOfRole("core"), f.daemonsOfRole("router")[1:]...)...)
	time.Sleep(time.Duration(f.random.IntN(1500)) * time.Millisecond)
	f.healAll()
}

func (f *fleetSoak) crashZone() {
	number := f.random.IntN(3)
	for _, role := range []string{"core", "router", "engine"} {
		for index, name := range f.daemonsOfRole(role) {
			if index%3 == number {
				f.killDaemons(name)
			}
		}
	}
}

// fillServerDisk has the disk of one server reject writes until it is repaired; its process stays up.
func (f *fleetSoak) fillServerDisk() { f.FillDisk(f.randomDaemon("core")) }

// tearServerLog leaves a torn record at the end of the write-ahead log of a killed server.
func (f *fleetSoak) tearServerLog() {
	name := f.randomDaemon("core")
	f.killDaemons(name)
	file, err := os.OpenFile(filepath.Join(f.dataDirectory, name, "journal"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	_, _ = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6}[:1+f.random.IntN(10)])
	f.restartDaemon(name)
}
