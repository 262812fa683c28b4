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

// faults are the failures that the brief names, by name.
var faults = map[string]func(*soak){
	"crowd":              func(soak *soak) { soak.crowdOf(60, 80) },
	"long prompts":       func(soak *soak) { soak.crowdOf(60, 0) },
	"long answers":       func(soak *soak) { soak.crowdOf(0, 60) },
	"engine crashes":     func(soak *soak) { soak.down(soak.any("engine")) },
	"all engines return": (*soak).enginesReturn,
	"engine dark":        func(soak *soak) { soak.alone(soak.any("engine")) },
	"engine frozen":      func(soak *soak) { soak.sleep(soak.any("engine"), 6000) },
	"engine replaced":    (*soak).release,
	"slow engine links":  (*soak).slowEngines,
	"memory lapses":      (*soak).lapse,
	"core killed":        func(soak *soak) { soak.down(soak.any("core")) },
	"all cores killed":   func(soak *soak) { soak.down(soak.all("core")...) },
	"core frozen":        func(soak *soak) { soak.sleep(soak.any("core"), 3000) },
	"core isolated":      func(soak *soak) { soak.alone(soak.any("core")) },
	"cores split":        (*soak).split,
	"one-way cut":        func(soak *soak) { soak.Cut(soak.any("core"), soak.any("core")) },
	"core wiped":         (*soak).wipeOne,
	"all cores wiped":    (*soak).wipeAll,
	"core moves":         (*soak).move,
	"router killed":      func(soak *soak) { soak.down(soak.any("router")) },
	"router stopped":     (*soak).stopRouter,
	"router isolated":    func(soak *soak) { soak.alone(soak.any("router")) },
	"router frozen":      func(soak *soak) { soak.sleep(soak.any("router"), 4000) },
	"herd":               (*soak).herd,
	"router suspended":   func(soak *soak) { soak.Suspend(soak.any("router"), 5*schedule.Second) },
	"core suspended":     func(soak *soak) { soak.Suspend(soak.any("core"), 5*schedule.Second) },
	"hall lost":          (*soak).loseHall,
	"slow disk": func(soak *soak) {
		soak.SlowDisk(soak.any("core"), schedule.Microseconds(100+soak.chance.IntN(900))*schedule.Millisecond)
	},
	"stalled disk":         func(soak *soak) { soak.StallDisk(soak.any("core")) },
	"leader's disk stalls": func(soak *soak) { soak.StallDisk(soak.leader()) },
	"full disk":            (*soak).fill,
	"torn disk":            (*soak).tear,
}

func faultNames() []string { return slices.Sorted(maps.Keys(faults)) }

func (f *soak) all(role string) []string {
	var found []string
	for name := range f.start {
		if strings.HasPrefix(name, role) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

func (f *soak) any(role string) string {
	found := f.all(role)
	name := found[f.chance.IntN(len(found))]
	f.note("  %s", name)
	return name
}

func (f *soak) alone(name string) { f.Isolate(name, f.names()) }

func (f *soak) sleep(name string, most int) {
	f.Freeze(name, schedule.Microseconds(200+f.chance.IntN(most-200))*schedule.Millisecond)
}

// crowdOf sends many more requests at once, under keys of their own.
func (f *soak) crowdOf(long, short float64) {
	seed := f.chance.Uint64()
	f.rush.Go(func() {
		run, err := load.New(load.Settings{
			Cores: f.corePub, Routers: f.routPub, Tenant: f.tenant, Long: f.long, Short: f.short,
			LongRate: 3 * long, ShortRate: 3 * short, Seconds: 2, Seed: seed,
		}, simulation.Port{Fabric: f.Fabric, Machine: "crowd"})
		if err != nil {
			f.Error(err)
			return
		}
		figures, err := run.Drive(f.Context())
		if err != nil {
			f.note("crowd: %v", err)
			return
		}
		for _, violation := range figures.Violations {
			f.violate("crowd: %s", violation)
		}
	})
}

func (f *soak) enginesReturn() {
	f.down(f.all("engine")...)
	time.Sleep(time.Second)
	for _, name := range f.all("engine") {
		f.back(name)
	}
}

// release replaces an engine: listed as leaving, stopped politely, back with another
// model version.
func (f *soak) release() {
	name := f.any("engine")
	// Leaving is of a life that is in the list: one that has just returned may not be yet.
	if f.gone[name] || time.Since(f.since[name]) < 3*time.Second || !f.leave(name) {
		return
	}
	time.Sleep(3500 * time.Millisecond)
	f.polite(name)
	var number int
	fmt.Sscanf(name, "engine-%d", &number)
	f.stage.engine(number, f.versions[f.chance.IntN(2)])
	f.back(name)
}

func (f *soak) slowEngines() {
	for _, from := range f.all("engine") {
		for _, to := range f.all("engine") {
			f.Slow(from, to, schedule.Microseconds(f.chance.IntN(80))*schedule.Millisecond)
		}
	}
}

func (f *soak) lapse() {
	f.stage.lock.Lock()
	defer f.stage.lock.Unlock()
	for _, each := range f.engines {
		each.Lapse()
	}
}

func (f *soak) split() {
	for _, name := range f.all("core") {
		f.Isolate(name, f.all("core"))
	}
}

// wipeOne loses one core's disk, if all others still have theirs.
func (f *soak) wipeOne() {
	if f.wiped {
		return
	}
	f.wiped = true
	name := f.any("core")
	f.down(name)
	f.wipe(name)
	time.Sleep(time.Duration(f.chance.IntN(2000)) * time.Millisecond)
	f.back(name)
}

// wipeAll loses all cores' disks; the routers keep what they know.
func (f *soak) wipeAll() {
	if f.wiped {
		return
	}
	f.wiped = true
	for _, name := range f.all("core") {
		f.down(name)
		f.wipe(name)
	}
	time.Sleep(500 * time.Millisecond)
	f.mend()
}

// move has a core machine come back empty at a new address, once.
func (f *soak) move() {
	if f.wiped {
		return
	}
	f.wiped = true
	name := f.any("core")
	f.down(name)
	f.wipe(name)
	var number int
	fmt.Sscanf(name, "core-%d", &number)
	f.core(name, f.halls[number], fmt.Sprintf("10.0.5.%d:1", number), f.corePub[number], "")
	f.back(name)
}

func (f *soak) stopRouter() {
	name := f.any("router")
	if f.gone[name] {
		return
	}
	f.polite(name)
	f.gone[name] = true
}

// herd kills all cores and most routers within milliseconds of an acknowledgement.
func (f *soak) herd() {
	f.small()
	time.Sleep(time.Duration(f.chance.IntN(5)) * time.Millisecond)
	f.down(append(f.all("core"), f.all("router")[1:]...)...)
	time.Sleep(time.Duration(f.chance.IntN(1500)) * time.Millisecond)
	f.mend()
}

func (f *soak) loseHall() {
	number := f.chance.IntN(3)
	for _, role := range []string{"core", "router", "engine"} {
		for place, name := range f.all(role) {
			if place%3 == number {
				f.down(name)
			}
		}
	}
}

// fill has one core's disk take nothing until the next mending; its process stays up.
func (f *soak) fill() { f.FillDisk(f.any("core")) }

// tear leaves a torn record at the end of a killed core's journal.
func (f *soak) tear() {
	name := f.any("core")
	f.down(name)
	file, err := os.OpenFile(filepath.Join(f.folder, name, "journal"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer file.Close()
	_, _ = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6}[:1+f.chance.IntN(10)])
	f.back(name)
}
