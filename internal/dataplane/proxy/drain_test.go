package carrier_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/state/pairing"
)

const (
	morning = 50 * time.Second
	notify  = 20 * time.Second
	over    = 15 * time.Second
)

// judge prints what the observers counted, and fails on whatever they saw but for what a
// play allows.
func judge(test *testing.T, watching *watcher, allowed ...string) {
	for _, name := range slices.Sorted(maps.Keys(watching.counts)) {
		test.Logf("%-34s %d", name, watching.counts[name])
	}
	for _, each := range kinds {
		test.Logf("%-8s slowest start %v, longest pause %v", each.name, watching.slowest[each.name], watching.pause[each.name])
	}
	for what, all := range watching.violations {
		if slices.Contains(allowed, what) {
			test.Logf("%s: %d, allowed here, such as %s", what, len(all), all[0])
			continue
		}
		test.Errorf("%s: %d, such as %s", what, len(all), all[0])
	}
	for _, each := range kinds {
		if watching.counts[each.name+" sent"] < 50 {
			test.Errorf("only %d of %s were sent", watching.counts[each.name+" sent"], each.name)
		}
	}
}

// empties checks that the region is left on its schedule, and how the moves are spread.
func (d *window) empties() {
	begun := time.Now()
	d.group.Go(func() {
		time.Sleep(notify + time.Second)
		told, there := 0, d.live("north")
		for _, each := range d.routers {
			for _, count := range each.Live() {
				told += count
			}
		}
		if told == 0 || told != there {
			d.Errorf("routers tell of %d calls under way, there are %d", told, there)
		}

		moved := []int64{}
		for quarter := range 4 {
			time.Sleep(time.Until(begun.Add(notify + over*time.Duration(quarter+1)/4)))
			moved = append(moved, d.sum(func(each *carrier.Carrier) int64 { return each.Moved.Load() }))
		}
		time.Sleep(2 * time.Second)
		left, ready := d.live("north"), 0
		for _, each := range d.routers {
			if each.Ready() {
				ready++
			}
		}
		d.Logf("moved by quarters of the window %v, resumed %d, stayed for a while %d, still there %d", moved,
			d.sum(func(each *carrier.Carrier) int64 { return each.Resumed.Load() }), d.sum(func(each *carrier.Carrier) int64 { return each.Stayed.Load() }), left)
		if moved[3] == 0 {
			d.Error("no session was moved")
		}
		if left > 0 {
			d.Errorf("%d runs are still there after the window", left)
		}
		if ready != 4 {
			d.Errorf("%d of 6 routers are ready, of which 2 stand in the drained region", ready)
		}
		if astray := d.sum(func(each *carrier.Carrier) int64 { return each.Astray.Load() }); astray > 0 {
			d.Errorf("%d steps beside the table", astray)
		}
	})
}

// The morning's window: the north is drained while all kinds come from everywhere.
func TestADrainedRegionLosesNothing(test *testing.T) {
	for seed := range uint64(2) {
		test.Run(fmt.Sprint("seed ", seed), func(test *testing.T) {
			watching := playWindow(test, seed, "", func(window *window) {
				window.drain(notify, over)
				window.empties()
				window.load(morning)
			})
			judge(test, watching)
			if watching.counts["late starts while nothing was read yet"] > 10 {
				test.Error("too many late starts at the beginning")
			}
		})
	}
}

// The centre has only readers: once the north is drained, what is read in the centre is
// written in the south.
func TestADrainedRegionLeavesReadersAndWritersApart(test *testing.T) {
	watching := newWatcher()
	watching.anywhere = true
	playOver(test, watching, 5, "", func(window *window) {
		window.without("centre", contract.Decode)
		window.drain(notify, over)
		window.empties()
		window.load(morning)
	})
	judge(test, watching)
	if watching.counts["handed over between regions"] < 500 {
		test.Errorf("only %d prompts were handed over between regions", watching.counts["handed over between regions"])
	}
}

// An engine outside the region crashes in the middle of the window: what it alone had of
// what runs once is told as cut, all else goes on.
func TestAnEngineCrashesInsideTheWindow(test *testing.T) {
	for seed := range uint64(2) {
		test.Run(fmt.Sprint("seed ", seed), func(test *testing.T) {
			watching := playWindow(test, seed+10, "", func(window *window) {
				window.excuse(time.Now().Add(notify+over/2), time.Second, time.Second)
				window.drain(notify, over)
				window.empties()
				window.load(morning)
				time.Sleep(notify + over/2)
				close(window.model.engines["centre-1-2"].dead)
				time.Sleep(2 * time.Second)
				window.gone("centre-1-2")
			})
			judge(test, watching)
			if lost := watching.counts["note broken off with its engine"] + watching.counts["reply broken off with its engine"]; lost > 32 {
				test.Errorf("%d are lost with one engine of 32 places", lost)
			}
		})
	}
}

// The region goes dark in the first quarter of its window, with most sessions still there.
func TestTheRegionIsCutOffEarly(test *testing.T) {
	for seed := range uint64(2) {
		test.Run(fmt.Sprint("seed ", seed), func(test *testing.T) {
			watching := playWindow(test, seed+20, "", func(window *window) {
				window.excuse(time.Now().Add(notify+over/4), time.Second, 2*time.Second)
				window.drain(notify, over)
				window.load(morning)
				time.Sleep(notify + over/4)
				left := window.live("north")
				for _, engine := range window.model.engines {
					if modelRegions.Of(engine.Hall) == "north" {
						close(engine.dark)
					}
				}
				close(window.lost)
				window.Logf("%d runs were there at the cut", left)
				if left < 3 {
					window.Error("nothing was there at the cut")
				}
			})
			judge(test, watching)
			if lost := watching.counts["note broken off with its engine"] + watching.counts["reply broken off with its engine"]; lost > 0 {
				test.Errorf("%d that run once were lost, though they had time to end", lost)
			}
		})
	}
}

// An answer that is whole, but only after its bulletin, is seen.
func TestTheObserversSeeAMissedBulletin(test *testing.T) {
	watching := newWatcher()
	late := &answer{watcher: watching, target: "/flag/one/", sent: time.Unix(0, 0), first: time.Unix(0, 0), last: time.Unix(4, 0), got: 40}
	late.end(true)
	if len(watching.violations["bulletin"]) != 1 {
		test.Error("not seen")
	}
}

// Every observer is shown able to see what it is there for.
func TestTheObserversSeeFaults(test *testing.T) {
	for fault, sees := range map[string]string{
		"untold": "late work", "twice": "twice", "repeats": "order", "skips": "order", "slow": "aim", "hang": "missing", "cuts": "missing",
		"mixed": "memory", "abroad": "home",
	} {
		test.Run(fault, func(test *testing.T) {
			// A fault of resumed streams shows only in a window in which one was moved.
			moved := int64(0)
			for seed := uint64(3); seed < 12; seed++ {
				watching := playWindow(test, seed, fault, func(window *window) {
					window.drain(6*time.Second, 4*time.Second)
					window.load(12 * time.Second)
					window.group.Go(func() {
						time.Sleep(30 * time.Second)
						moved = window.sum(func(each *carrier.Carrier) int64 { return each.Moved.Load() + each.Resumed.Load() })
					})
				})
				if sees == "order" && moved == 0 {
					continue
				}
				if len(watching.violations[sees]) == 0 {
					test.Errorf("%s was not seen as %q: %v", fault, sees, watching.violations)
				}
				return
			}
			test.Error("no stream was moved in any window")
		})
	}
}
