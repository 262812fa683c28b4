package proxy_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"coursepass/internal/state/pairing"
)

const (
	loadDuration = 50 * time.Second
	// noticePeriod is how long before the region is closed the routers hear of it, windowDuration
	// the time over which its streams migrate then.
	noticePeriod   = 20 * time.Second
	windowDuration = 15 * time.Second
	// windowQuarters is in how many parts migrations are counted.
	windowQuarters = 4
	// longStreamCount is how many streams surely migrate. A router migrates no more streams than
	// its retry budget allows, which is eight here and not earned by a router that is not ready:
	// two for each of the region's routers leave some for other streams.
	longStreamCount = 4
)

// checkObservations logs what the observer counted, and fails on whatever it saw that must not
// happen.
func checkObservations(t *testing.T, observer *fleetObserver) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(observer.counts)) {
		t.Logf("%-34s %d", name, observer.counts[name])
	}
	for _, kind := range requestKinds {
		t.Logf("%-10s slowest start %v, longest pause %v",
			kind.name, observer.slowestStart[kind.name], observer.longestPause[kind.name])
	}
	for violated, messages := range observer.violations {
		t.Errorf("%s: %d, such as %s", violated, len(messages), messages[0])
	}
	for _, kind := range requestKinds {
		if sent := observer.counts[countSent(kind.name)]; sent < 50 {
			t.Errorf("only %d of %s were sent", sent, kind.name)
		}
	}
}

// lostRequests returns how many requests that may run once were lost with their engines.
func lostRequests(observer *fleetObserver) int {
	return observer.counts[countLost("note")] + observer.counts[countLost("reply")]
}

// sendLongStreams starts streams of the drained region's clients, by its routers in turn, once
// prompts are cached and before the region gets nothing new.
func (d *drainSimulation) sendLongStreams() {
	regions := modelRegions.Names()
	regionIndex := slices.Index(regions, drainedRegion)
	d.group.Go(func() {
		time.Sleep(warmupDuration + time.Second)
		for rotation := range longStreamCount {
			d.sendRequestBy(rotation, longStream, rotation*len(regions)+regionIndex, 0)
		}
	})
}

// expectDrained checks that all calls leave the region in time, that the long streams migrate
// inside the window, and logs how the migrations are spread.
func (d *drainSimulation) expectDrained() {
	startedAt := time.Now()
	d.sendLongStreams()
	d.group.Go(func() {
		time.Sleep(noticePeriod)
		longStreams := len(d.longStreamsIn(drainedRegion))
		time.Sleep(time.Second)
		d.checkPendingCalls()
		migrated := d.migrationsByQuarter(startedAt.Add(noticePeriod))
		d.checkLongStreams(longStreams, migrated[windowQuarters-1])
		time.Sleep(2 * time.Second)
		remaining := d.liveRuns(drainedRegion)
		d.Logf("migrated by quarters of the window %v, resumed %d, migrations aborted %d, still there %d",
			migrated, d.sumCounters(resumedStreams), d.sumCounters(abortedMigrations), remaining)
		if remaining > 0 {
			d.Errorf("%d runs are still there after the window", remaining)
		}
		if ready := d.readyRouters(); ready != 4 {
			d.Errorf("%d of 6 routers are ready, of which 2 are in the drained region", ready)
		}
		if invalid := d.sumCounters(invalidTransitions); invalid > 0 {
			d.Errorf("%d invalid transitions", invalid)
		}
	})
}

// checkLongStreams checks at the end of the window that all long streams were there at its begin,
// and that they have migrated.
func (d *drainSimulation) checkLongStreams(atBegin int, migrated int64) {
	unmoved := d.longStreamsIn(drainedRegion)
	d.Logf("%d long streams were there at the begin, %d at the end; the retry budget was exhausted %d times",
		atBegin, len(unmoved), d.sumCounters(exhaustedRetryBudgets))
	if atBegin != longStreamCount {
		d.Errorf("%d of %d long streams were there at the begin", atBegin, longStreamCount)
	}
	if len(unmoved) > 0 {
		d.Errorf("not migrated inside the window: %v", unmoved)
	}
	if migrated < longStreamCount {
		d.Errorf("%d streams were migrated, though %d surely were to be", migrated, longStreamCount)
	}
}

// checkPendingCalls checks that the routers report all calls at engines of the drained region.
func (d *drainSimulation) checkPendingCalls() {
	reported, running := 0, d.liveRuns(drainedRegion)
	for _, router := range d.routers {
		for _, count := range router.PendingCalls() {
			reported += count
		}
	}
	if reported == 0 || reported != running {
		d.Errorf("routers report %d pending calls, there are %d", reported, running)
	}
}

// migrationsByQuarter waits for the end of the window, and returns how many streams had migrated by
// the end of each quarter of it.
func (d *drainSimulation) migrationsByQuarter(windowStart time.Time) []int64 {
	migrated := []int64{}
	for quarter := range windowQuarters {
		quarterEnd := windowStart.Add(windowDuration * time.Duration(quarter+1) / windowQuarters)
		time.Sleep(time.Until(quarterEnd))
		migrated = append(migrated, d.sumCounters(migratedStreams))
	}
	return migrated
}

func (d *drainSimulation) readyRouters() int {
	ready := 0
	for _, router := range d.routers {
		if router.Ready() {
			ready++
		}
	}
	return ready
}

// The region is drained while requests of all kinds come from everywhere.
func TestRegionDrain_LosesNoRequest(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed, faultNone, func(sim *drainSimulation) {
				sim.startDrain(noticePeriod, windowDuration)
				sim.expectDrained()
				sim.generateLoad(loadDuration)
			})
			checkObservations(t, observer)
			if observer.counts[countColdLateStarts] > 10 {
				t.Error("too many late starts at the beginning")
			}
		})
	}
}

// The centre has only prefillers: once the north is drained, what is prefilled in the centre is
// decoded in the south.
func TestRegionDrain_TransfersBetweenRegions(t *testing.T) {
	observer := newFleetObserver()
	observer.unrestricted = true
	runDrainSimulationWith(t, observer, 5, faultNone, func(sim *drainSimulation) {
		sim.delistRole("centre", pairing.RoleDecode)
		sim.startDrain(noticePeriod, windowDuration)
		sim.expectDrained()
		sim.generateLoad(loadDuration)
	})
	checkObservations(t, observer)
	if transfers := observer.counts[countCrossRegionTransfers]; transfers < 500 {
		t.Errorf("only %d KV caches were transferred between regions", transfers)
	}
}

// An engine outside the region crashes in the middle of the window: of the requests that may run
// once, those that it had are reported as lost, all others go on.
func TestRegionDrain_EngineCrash(t *testing.T) {
	const crashesAfter = noticePeriod + windowDuration/2
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed+10, faultNone, func(sim *drainSimulation) {
				sim.excuseAround(time.Now().Add(crashesAfter), time.Second, time.Second)
				sim.startDrain(noticePeriod, windowDuration)
				sim.expectDrained()
				sim.generateLoad(loadDuration)
				time.Sleep(crashesAfter)
				close(sim.fleetModel.engines["centre-1-2"].crashed)
				time.Sleep(2 * time.Second)
				sim.delistEngine("centre-1-2")
			})
			checkObservations(t, observer)
			if lost := lostRequests(observer); lost > 32 {
				t.Errorf("%d are lost with one engine of 32 slots", lost)
			}
		})
	}
}

// The region is partitioned in the first quarter of its window, with most streams still there.
func TestRegionDrain_EarlyPartition(t *testing.T) {
	const partitionedAfter = noticePeriod + windowDuration/4
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed+20, faultNone, func(sim *drainSimulation) {
				sim.excuseAround(time.Now().Add(partitionedAfter), time.Second, 2*time.Second)
				sim.startDrain(noticePeriod, windowDuration)
				sim.generateLoad(loadDuration)
				time.Sleep(partitionedAfter)
				sim.partitionRegion()
			})
			checkObservations(t, observer)
			if lost := lostRequests(observer); lost > 0 {
				t.Errorf("%d that may run once were lost, though they had time to end", lost)
			}
		})
	}
}

// partitionRegion cuts the drained region off, with its routers and engines.
func (d *drainSimulation) partitionRegion() {
	remaining := d.liveRuns(drainedRegion)
	for _, engine := range d.fleetModel.engines {
		if modelRegions.RegionOf(engine.Zone) == drainedRegion {
			close(engine.partitioned)
		}
	}
	close(d.regionLost)
	d.Logf("%d runs were there at the partition", remaining)
	if remaining < 3 {
		d.Error("nothing was there at the partition")
	}
}

// A response that is complete, but only after its deadline, is seen, also if it is excused.
func TestObserverReportsMissedDeadline(t *testing.T) {
	observer := newFleetObserver()
	response := &receivedResponse{
		fleetObserver:  observer,
		target:         "/flag/one/",
		sentAt:         time.Unix(0, 0),
		firstEventAt:   time.Unix(0, 0),
		lastEventAt:    time.Unix(4, 0),
		receivedEvents: 40,
	}
	response.finish(true)
	if len(observer.violations[violationDeadline]) != 1 {
		t.Error("not seen")
	}
}

// The observer is shown to see each kind of violation.
func TestObserverReportsInjectedFaults(t *testing.T) {
	expectedViolations := map[injectedFault]violation{
		faultUnannounced: violationWorkAfterClose,
		faultRunTwice:    violationDuplicateRun,
		faultRepeatEvent: violationEventOrder,
		faultSkipEvent:   violationEventOrder,
		faultSlow:        violationLateStart,
		faultHang:        violationIncomplete,
		faultTruncate:    violationIncomplete,
		faultWrongKV:     violationKVCache,
		faultAllRegions:  violationRegion,
	}
	for fault, expected := range expectedViolations {
		t.Run(string(fault), func(t *testing.T) {
			expectViolation(t, fault, expected)
		})
	}
}

// expectViolation checks that the observer reports a fault in the first simulation that can show
// it.
func expectViolation(t *testing.T, fault injectedFault, expected violation) {
	t.Helper()
	for seed := uint64(3); seed < 12; seed++ {
		moved := int64(0)
		observer := runDrainSimulation(t, seed, fault, func(sim *drainSimulation) {
			sim.startDrain(6*time.Second, 4*time.Second)
			sim.generateLoad(12 * time.Second)
			sim.group.Go(func() {
				time.Sleep(30 * time.Second)
				moved = sim.sumCounters(migratedStreams) + sim.sumCounters(resumedStreams)
			})
		})
		// A fault of resumed streams shows only if one was migrated or resumed.
		if expected == violationEventOrder && moved == 0 {
			continue
		}
		if len(observer.violations[expected]) == 0 {
			t.Errorf("%s was not seen as %q: %v", fault, expected, observer.violations)
		}
		return
	}
	t.Error("no stream was migrated in any window")
}
