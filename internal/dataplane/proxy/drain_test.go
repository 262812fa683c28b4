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
	// noticePeriod is the time from the announcement of the maintenance window to its start, when the
	// region is closed for new work.
	noticePeriod = 20 * time.Second
	// windowDuration is the duration of the maintenance window, in which streams migrate.
	windowDuration = 15 * time.Second
	// windowQuarters is the number of equal parts of the window after which migrations are counted.
	windowQuarters = 4
	// longStreamCount is the number of streams that always migrate, two for each of the region's two
	// routers. A router migrates no more streams than its retry budget allows. The budget is eight here,
	// and a router that is not ready earns no more. With two streams for each router, some of the budget
	// is left for other streams.
	longStreamCount = 4
)

// checkObservations logs the counts of the observer, and fails the test if there were violations or too
// few requests.
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
		t.Errorf("%d violations of kind %q, the first is: %s", len(messages), violated, messages[0])
	}
	for _, kind := range requestKinds {
		if sent := observer.counts[countSent(kind.name)]; sent < 50 {
			t.Errorf("only %d requests of kind %s were sent", sent, kind.name)
		}
	}
}

// lostRequests returns the number of requests that may run only once and were lost with their engines.
func lostRequests(observer *fleetObserver) int {
	return observer.counts[countLost("note")] + observer.counts[countLost("reply")]
}

// sendLongStreams sends long streams from clients in the drained region to the routers of the region in
// turn. It does so after the engines have cached the shared prefixes and before the region is closed for
// new work.
func (d *drainSimulation) sendLongStreams() {
	regions := simulatedRegions.Names()
	regionIndex := slices.Index(regions, drainedRegion)
	d.group.Go(func() {
		time.Sleep(warmupDuration + time.Second)
		for rotation := range longStreamCount {
			d.sendRequestWithRotation(rotation, longStream, rotation*len(regions)+regionIndex, 0)
		}
	})
}

// expectDrained starts a check of the drain: no run is left in the region after the window, and all long
// streams migrate during the window. It also logs the number of migrations in each quarter of the window.
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
		d.Logf("migrated by the end of each quarter %v, resumed %d, migrations aborted %d, runs left %d",
			migrated, d.sumCounters(resumedStreams), d.sumCounters(abortedMigrations), remaining)
		if remaining > 0 {
			d.Errorf("%d runs are left in the region after the window", remaining)
		}
		if ready := d.readyRouters(); ready != 4 {
			d.Errorf("%d of 6 routers are ready, want the 4 outside the drained region", ready)
		}
		if invalid := d.sumCounters(invalidTransitions); invalid > 0 {
			d.Errorf("%d invalid transitions", invalid)
		}
	})
}

// checkLongStreams checks at the end of the window that all long streams were in the drained region at
// the start of the window and have migrated since.
func (d *drainSimulation) checkLongStreams(atBegin int, migrated int64) {
	unmigrated := d.longStreamsIn(drainedRegion)
	d.Logf("%d long streams were in the region at the start, %d at the end; the retry budget was exhausted %d times",
		atBegin, len(unmigrated), d.sumCounters(exhaustedRetryBudgets))
	if atBegin != longStreamCount {
		d.Errorf("%d of %d long streams were in the region at the start", atBegin, longStreamCount)
	}
	if len(unmigrated) > 0 {
		d.Errorf("long streams that did not migrate during the window: %v", unmigrated)
	}
	if migrated < longStreamCount {
		d.Errorf("%d streams were migrated, want at least %d", migrated, longStreamCount)
	}
}

// checkPendingCalls checks that the pending calls reported by the routers match the runs in the drained
// region, and that there are some.
func (d *drainSimulation) checkPendingCalls() {
	reported, running := 0, d.liveRuns(drainedRegion)
	for _, router := range d.routers {
		for _, count := range router.PendingCalls() {
			reported += count
		}
	}
	if reported == 0 || reported != running {
		d.Errorf("routers report %d pending calls, engines have %d runs", reported, running)
	}
}

// migrationsByQuarter waits until the end of the window. It returns the number of streams that had
// migrated by the end of each quarter of the window.
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

// Guards against requests that are lost or late while a region is drained. Clients in all regions send
// requests of all kinds during the drain.
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
				t.Error("more than 10 late starts during the warm-up")
			}
		})
	}
}

// Guards against a drain that does not work if prompts must be decoded in another region than they are
// prefilled in. The centre has only prefill engines here, so that after the drain of the north all KV
// caches are transferred from the centre to the south.
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

// Guards against the loss of more requests than an engine held when it crashed. An engine outside the
// drained region crashes in the middle of the window. Only the requests at that engine that may run only
// once are lost.
func TestRegionDrain_EngineCrash(t *testing.T) {
	const crashesAfter = noticePeriod + windowDuration/2
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed+10, faultNone, func(sim *drainSimulation) {
				sim.setFaultWindow(time.Now().Add(crashesAfter), time.Second, time.Second)
				sim.startDrain(noticePeriod, windowDuration)
				sim.expectDrained()
				sim.generateLoad(loadDuration)
				time.Sleep(crashesAfter)
				close(sim.simulatedFleet.engines["centre-1-2"].crashed)
				time.Sleep(2 * time.Second)
				sim.delistEngine("centre-1-2")
			})
			checkObservations(t, observer)
			if lost := lostRequests(observer); lost > 32 {
				t.Errorf("%d requests were lost with one engine of 32 slots", lost)
			}
		})
	}
}

// Guards against lost requests if the drained region becomes unreachable too early. The region is
// partitioned at the end of the first quarter of the window, when most streams have not migrated yet.
func TestRegionDrain_EarlyPartition(t *testing.T) {
	const partitionedAfter = noticePeriod + windowDuration/4
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			observer := runDrainSimulation(t, seed+20, faultNone, func(sim *drainSimulation) {
				sim.setFaultWindow(time.Now().Add(partitionedAfter), time.Second, 2*time.Second)
				sim.startDrain(noticePeriod, windowDuration)
				sim.generateLoad(loadDuration)
				time.Sleep(partitionedAfter)
				sim.partitionRegion()
			})
			checkObservations(t, observer)
			if lost := lostRequests(observer); lost > 0 {
				t.Errorf("%d requests that may run only once were lost, although they had time to end", lost)
			}
		})
	}
}

// partitionRegion makes the routers and engines of the drained region unreachable.
func (d *drainSimulation) partitionRegion() {
	remaining := d.liveRuns(drainedRegion)
	for _, engine := range d.simulatedFleet.engines {
		if simulatedRegions.RegionOf(engine.Zone) == drainedRegion {
			close(engine.partitioned)
		}
	}
	close(d.regionLost)
	d.Logf("%d runs were in the region at the partition", remaining)
	if remaining < 3 {
		d.Error("fewer than 3 runs were in the region at the partition")
	}
}

// Guards against an observer that misses a complete response after its deadline. The observer must report
// it even around an injected crash or partition.
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
		t.Error("the missed deadline was not reported")
	}
}

// Guards against an observer that misses violations. Each injected fault must lead to the expected
// violation.
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

// expectViolation checks that the observer reports an injected fault in the first simulation in which
// the fault can occur.
func expectViolation(t *testing.T, fault injectedFault, expected violation) {
	t.Helper()
	for seed := uint64(3); seed < 12; seed++ {
		migratedOrResumed := int64(0)
		observer := runDrainSimulation(t, seed, fault, func(sim *drainSimulation) {
			sim.startDrain(6*time.Second, 4*time.Second)
			sim.generateLoad(12 * time.Second)
			sim.group.Go(func() {
				time.Sleep(30 * time.Second)
				migratedOrResumed = sim.sumCounters(migratedStreams) + sim.sumCounters(resumedStreams)
			})
		})
		// Faults in resumed streams occur only if a stream was migrated or resumed.
		if expected == violationEventOrder && migratedOrResumed == 0 {
			continue
		}
		if len(observer.violations[expected]) == 0 {
			t.Errorf("fault %q was not reported as violation %q: %v", fault, expected, observer.violations)
		}
		return
	}
	t.Error("no stream was migrated or resumed with any seed")
}
