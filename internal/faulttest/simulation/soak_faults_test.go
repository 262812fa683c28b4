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

func (soak *soak) all(role string) []string {
	var found []string
	for name := range soak.start {
		if strings.HasPrefix(name, role) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

func (soak *soak) any(role string) string {
	found := soak.all(role)
	name := found[soak.chance.IntN(len(found))]
	soak.note("  %s", name)
	return name
}

func (soak *soak) alone(name string) { soak.Isolate(name, soak.names()) }

func (soak *soak) sleep(name string, most int) {
	soak.Freeze(name, schedule.Microseconds(200+soak.chance.IntN(most-200))*schedule.Millisecond)
}

// crowdOf sends many more requests at once, under keys of their own.
func (soak *soak) crowdOf(long, short float64) {
	seed := soak.chance.Uint64()
	soak.rush.Go(func() {
		run, err := load.New(load.Settings{
			Cores: soak.corePub, Routers: soak.routPub, Tenant: soak.tenant, Long: soak.long, Short: soak.short,
			LongRate: 3 * long, ShortRate: 3 * short, Seconds: 2, Seed: seed,
		}, simulation.Port{Fabric: soak.Fabric, Machine: "crowd"})
		if err != nil {
			soak.Error(err)
			return
		}
		figures, err := run.Drive(soak.Context())
		if err != nil {
			soak.note("crowd: %v", err)
			return
		}
		for _, violation := range figures.Violations {
			soak.violate("crowd: %s", violation)
		}
	})
}

func (soak *soak) enginesReturn() {
	soak.down(soak.all("engine")...)
	time.Sleep(time.Second)
	for _, name := range soak.all("engine") {
		soak.back(name)
	}
}

// release replaces an engine: listed as leaving, stopped politely, back with another
// model version.
func (soak *soak) release() {
	name := soak.any("engine")
	// Leaving is of a life that is in the list: one that has just returned may not be yet.
	if soak.gone[name] || time.Since(soak.since[name]) < 3*time.Second || !soak.leave(name) {
		return
	}
	time.Sleep(3500 * time.Millisecond)
	soak.polite(name)
	var number int
	fmt.Sscanf(name, "engine-%d", &number)
	soak.stage.engine(number, soak.versions[soak.chance.IntN(2)])
	soak.back(name)
}

func (soak *soak) slowEngines() {
	for _, from := range soak.all("engine") {
		for _, to := range soak.all("engine") {
			soak.Slow(from, to, schedule.Microseconds(soak.chance.IntN(80))*schedule.Millisecond)
		}
	}
}

func (soak *soak) lapse() {
	soak.stage.lock.Lock()
	defer soak.stage.lock.Unlock()
	for _, each := range soak.engines {
		each.Lapse()
	}
}

func (soak *soak) split() {
	for _, name := range soak.all("core") {
		soak.Isolate(name, soak.all("core"))
	}
}

// wipeOne loses one core's disk, if all others still have theirs.
func (soak *soak) wipeOne() {
	if soak.wiped {
		return
	}
	soak.wiped = true
	name := soak.any("core")
	soak.down(name)
	soak.wipe(name)
	time.Sleep(time.Duration(soak.chance.IntN(2000)) * time.Millisecond)
	soak.back(name)
}

// wipeAll loses all cores' disks; the routers keep what they know.
func (soak *soak) wipeAll() {
	if soak.wiped {
		return
	}
	soak.wiped = true
	for _, name := range soak.all("core") {
		soak.down(name)
		soak.wipe(name)
	}
	time.Sleep(500 * time.Millisecond)
	soak.mend()
}

// move has a core machine come back empty at a new address, once.
func (soak *soak) move() {
	if soak.wiped {
		return
	}
	soak.wiped = true
	name := soak.any("core")
	soak.down(name)
	soak.wipe(name)
	var number int
	fmt.Sscanf(name, "core-%d", &number)
	soak.core(name, soak.halls[number], fmt.Sprintf("10.0.5.%d:1", number), soak.corePub[number], "")
	soak.back(name)
}

func (soak *soak) stopRouter() {
	name := soak.any("router")
	if soak.gone[name] {
		return
	}
	soak.polite(name)
	soak.gone[name] = true
}

// herd kills all cores and most routers within milliseconds of an acknowledgement.
func (soak *soak) herd() {
	soak.small()
	time.Sleep(time.Duration(soak.chance.IntN(5)) * time.Millisecond)
	soak.down(append(soak.all("core"), soak.all("router")[1:]...)...)
	time.Sleep(time.Duration(soak.chance.IntN(1500)) * time.Millisecond)
	soak.mend()
}

func (soak *soak) loseHall() {
	number := soak.chance.IntN(3)
	for _, role := range []string{"core", "router", "engine"} {
		for place, name := range soak.all(role) {
			if place%3 == number {
				soak.down(name)
			}
		}
	}
}

// fill has one core's disk take nothing until the next mending; its process stays up.
func (soak *soak) fill() { soak.FillDisk(soak.any("core")) }

// tear leaves a torn record at the end of a killed core's journal.
func (soak *soak) tear() {
	name := soak.any("core")
	soak.down(name)
	file, err := os.OpenFile(filepath.Join(soak.folder, name, "journal"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer file.Close()
	_, _ = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6}[:1+soak.chance.IntN(10)])
	soak.back(name)
}
