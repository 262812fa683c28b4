package proxy_test

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
	loadDuration = 50 * time.Second
	noticePeriod = 20 * time.Second
	outcomeEnded = 15 * time.Second
	// subscriptions is how many streams surely are to be moved. A router moves no more streams
	// than its budget of repeats allows, which is eight here and not earned anew by a router that
	// is not ready: two for each of the region's routers leave room for other streams.
	longStreamCount = 4
)

// checkObservations prints what the observers counted, and fails on whatever they saw but for what a
// play allows.
func checkObservations(t *testing.T, observer *fleetObserver, allowed ...string) {
	for _, name := range slices.Sorted(maps.Keys(observer.counts)) {
		t.Logf("%-34s %d", name, observer.counts[name])
	}
	for _, kind := range requestKinds {
		t.Logf("%-8s slowest start %v, longest pause %v", kind.name, observer.slowestStart[kind.name], observer.longestPause[kind.name])
	}
	for violation, messages := range observer.violations {
		if slices.Contains(allowed, violation) {
			t.Logf("%s: %d, allowed here, such as %s", violation, len(messages), messages[0])
			continue
		}
		t.Errorf("%s: %d, such as %s", violation, len(messages), messages[0])
	}
	for _, kind := range requestKinds {
		if observer.counts[kind.name+" sent"] < 50 {
			t.Errorf("only %d of %s were sent", observer.counts[kind.name+" sent"], kind.name)
		}
	}
}

// subscribe opens subscriptions of the north's callers, by its routers in turn, once prompts
// are read and before new work leaves the region.
func (d *drainSimulation) sendLongStreams() {
	regions := modelRegions.Names()
	north := slices.Index(regions, "north")
	d.group.Go(func() {
		time.Sleep(warmupDuration + time.Second)
		for rotation := range longStreamCount {
			d.sendRequestBy(rotation, longStream, rotation*len(regions)+north, 0)
		}
	})
}

// expectDrained checks that the region is left on its schedule, and how the moves are spread.
func (d *drainSimulation) expectDrained() {
	startedAt := time.Now()
	d.sendLongStreams()
	d.group.Go(func() {
		time.Sleep(noticePeriod)
		subscribed := len(d.longStreamsIn("north"))
		time.Sleep(time.Second)
		reported, running := 0, d.liveRuns("north")
		for _, router := range d.routers {
			for _, count := range router.PendingCalls() {
				reported += count
			}
		}
		if reported == 0 || reported != running {
			d.Errorf("routers tell of %d calls under way, there are %d", reported, running)
		}

		migrated := []int64{}
		for quarter := range 4 {
			time.Sleep(time.Until(startedAt.Add(noticePeriod + outcomeEnded*time.Duration(quarter+1)/4)))
			migrated = append(migrated, d.sumCounters(func(router *proxy.Proxy) int64 { return router.Migrated.Load() }))
		}
		unmoved := d.longStreamsIn("north")
		time.Sleep(2 * time.Second)
		remaining, readyRouters := d.liveRuns("north"), 0
		for _, router := range d.routers {
			if router.Ready() {
				readyRouters++
			}
		}
		d.Logf("moved by quarters of the window %v, resumed %d, stayed for a while %d, still there %d", migrated,
			d.sumCounters(func(router *proxy.Proxy) int64 { return router.Resumed.Load() }), d.sumCounters(func(router *proxy.Proxy) int64 { return router.MigrationsAborted.Load() }), remaining)
		d.Logf("%d subscriptions were there at the begin, %d at the end; repeats were spent %d times", subscribed, len(unmoved),
			d.sumCounters(func(router *proxy.Proxy) int64 { return router.RetryBudgetExhausted.Load() }))
		if subscribed != longStreamCount {
			d.Errorf("%d of %d subscriptions were there at the begin", subscribed, longStreamCount)
		}
		if len(unmoved) > 0 {
			d.Errorf("not moved inside the window: %v", unmoved)
		}
		if migrated[3] < longStreamCount {
			d.Errorf("%d sessions were moved, though %d surely were to be", migrated[3], longStreamCount)
		}
		if remaining > 0 {
			d.Errorf("%d runs are still there after the window", remaining)
		}
		if readyRouters != 4 {
			d.Errorf("%d of 6 routers are ready, of which 2 stand in the drained region", readyRouters)
		}
		if invalid := d.sumCounters(func(router *proxy.Proxy) int64 { return router.InvalidTransitions.Load() }); invalid > 0 {
			d.Errorf("%d steps beside the table", invalid)
		}
	})
}

// The morning's window: the north is drained while all kinds come from everywhere.
func TestRegionDrain_LosesNoRequest(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed, "", func(sim *drainSimulation) {
				sim.startDrain(noticePeriod, outcomeEnded)
				sim.expectDrained()
				sim.generateLoad(loadDuration)
			})
			checkObservations(t, observer)
			if observer.counts["late starts while nothing was read yet"] > 10 {
				t.Error("too many late starts at the beginning")
			}
		})
	}
}

// The centre has only readers: once the north is drained, what is read in the centre is
// written in the south.
func TestRegionDrain_HandsOverBetweenRegions(t *testing.T) {
	observer := newFleetObserver()
	observer.unrestricted = true
	runDrainSimulationWith(t, observer, 5, "", func(sim *drainSimulation) {
		sim.delistRole("centre", pairing.RoleDecode)
		sim.startDrain(noticePeriod, outcomeEnded)
		sim.expectDrained()
		sim.generateLoad(loadDuration)
	})
	checkObservations(t, observer)
	if observer.counts["handed over between regions"] < 500 {
		t.Errorf("only %d prompts were handed over between regions", observer.counts["handed over between regions"])
	}
}

// An engine outside the region crashes in the middle of the window: what it alone had of
// what runs once is told as cut, all else goes on.
func TestRegionDrain_EngineCrash(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed+10, "", func(sim *drainSimulation) {
				sim.excuseAround(time.Now().Add(noticePeriod+outcomeEnded/2), time.Second, time.Second)
				sim.startDrain(noticePeriod, outcomeEnded)
				sim.expectDrained()
				sim.generateLoad(loadDuration)
				time.Sleep(noticePeriod + outcomeEnded/2)
				close(sim.fleetModel.engines["centre-1-2"].crashed)
				time.Sleep(2 * time.Second)
				sim.delistEngine("centre-1-2")
			})
			checkObservations(t, observer)
			if truncated := observer.counts["note broken off with its engine"] + observer.counts["reply broken off with its engine"]; truncated > 32 {
				t.Errorf("%d are lost with one engine of 32 places", truncated)
			}
		})
	}
}

// The region goes dark in the first quarter of its window, with most sessions still there.
func TestRegionDrain_EarlyPartition(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed+20, "", func(sim *drainSimulation) {
				sim.excuseAround(time.Now().Add(noticePeriod+outcomeEnded/4), time.Second, 2*time.Second)
				sim.startDrain(noticePeriod, outcomeEnded)
				sim.generateLoad(loadDuration)
				time.Sleep(noticePeriod + outcomeEnded/4)
				remaining := sim.liveRuns("north")
				for _, engine := range sim.fleetModel.engines {
					if modelRegions.RegionOf(engine.Zone) == "north" {
						close(engine.partitioned)
					}
				}
				close(sim.regionLost)
				sim.Logf("%d runs were there at the cut", remaining)
				if remaining < 3 {
					sim.Error("nothing was there at the cut")
				}
			})
			checkObservations(t, observer)
			if truncated := observer.counts["note broken off with its engine"] + observer.counts["reply broken off with its engine"]; truncated > 0 {
				t.Errorf("%d that run once were lost, though they had time to end", truncated)
			}
		})
	}
}

// An answer that is whole, but only after its bulletin, is seen.
func TestObserverReportsMissedDeadline(t *testing.T) {
	observer := newFleetObserver()
	response := &receivedResponse{fleetObserver: observer, target: "/flag/one/", sentAt: time.Unix(0, 0), firstEventAt: time.Unix(0, 0), lastEventAt: time.Unix(4, 0), receivedEvents: 40}
	response.finish(true)
	if len(observer.violations["bulletin"]) != 1 {
		t.Error("not seen")
	}
}

// Every observer is shown able to see what it is there for.
func TestObserverReportsInjectedFaults(t *testing.T) {
	for fault, expected := range map[string]string{
		"untold": "late work", "twice": "twice", "repeats": "order", "skips": "order", "slow": "aim", "hang": "missing", "cuts": "missing",
		"mixed": "memory", "abroad": "home",
	} {
		t.Run(fault, func(t *testing.T) {
			// A fault of resumed streams shows only in a window in which one was moved.
			migrated := int64(0)
			for seed := uint64(3); seed < 12; seed++ {
				observer := runDrainSimulation(t, seed, fault, func(sim *drainSimulation) {
					sim.startDrain(6*time.Second, 4*time.Second)
					sim.generateLoad(12 * time.Second)
					sim.group.Go(func() {
						time.Sleep(30 * time.Second)
						migrated = sim.sumCounters(func(router *proxy.Proxy) int64 { return router.Migrated.Load() + router.Resumed.Load() })
					})
				})
				if expected == "order" && migrated == 0 {
					continue
				}
				if len(observer.violations[expected]) == 0 {
					t.Errorf("%s was not seen as %q: %v", fault, expected, observer.violations)
				}
				return
			}
			t.Error("no stream was moved in any window")
		})
	}
}
