package simulation_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// regionOfZone has each hall stand in a region of its own, 20 ms from the others.
var regionOfZone = map[string]string{"norte": "north", "centro": "centre", "sur": "south"}

const (
	drainDelay  = 4 * time.Second
	drainWindow = 6 * time.Second
)

func multiRegionDeployment() deployment {
	multiRegion := smallDeployment()
	multiRegion.regionOf, multiRegion.longRate, multiRegion.shortRate = regionOfZone, 12, 14
	return multiRegion
}

// delayCrossRegionLinks has what crosses regions take its time.
func (t *testFleet) delayCrossRegionLinks(names ...string) {
	for index, from := range names {
		for other, to := range names {
			if index%3 != other%3 {
				t.DelayLink(from, to, 20*clock.Millisecond)
			}
		}
	}
}

func (t *testFleet) drainRegion(region string, cancelDrain bool) error {
	drain := &adminclient.DrainRegion{ChangeCommand: t.newChange(), StartsAfter: drainDelay, Window: drainWindow, Cancel: cancelDrain}
	drain.Arguments.Region = region
	return drain.Run()
}

// routerReady asks a router as the platform does.
func (t *testFleet) routerReady(number int) bool {
	host := simulation.Host{MemoryNetwork: t.MemoryNetwork, Name: "operator"}
	roundTripper := transport.NewHTTPTransport(transport.Options{Network: host, Meter: topology.NewTrafficMeter("")})
	roundTripper.DisableKeepAlives = true
	client := &http.Client{Transport: roundTripper, Timeout: time.Second}
	response, err := client.Get("http://" + t.routerAddresses[number] + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leaderNumber is the number of the core that owns a part, -1 if none does.
func (t *testFleet) leaderNumber(shard int) int {
	number := -1
	fmt.Sscanf(t.shardLeader(shard), "core-%d", &number)
	return number
}

var allDaemons = []string{"core-0", "core-1", "core-2", "router-0", "router-1", "router-2", "engine-0", "engine-1", "engine-2", "engine-3", "engine-4", "engine-5"}

func testRegionDrain(t *testing.T, kill bool) {
	runScenarioFor(t, multiRegionDeployment(), 200, func(fleet *testFleet) {
		fleet.delayCrossRegionLinks(allDaemons...)
		results := fleet.loadDuring(30, func() {
			drainedZone := fleet.leaderNumber(0)
			if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], false); err != nil {
				fleet.Fatal(err)
			}
			time.Sleep(drainDelay + time.Second)
			before := fleet.countEngineRuns(fmt.Sprint("engine-", drainedZone)) + fleet.countEngineRuns(fmt.Sprint("engine-", drainedZone+3))
			for number := range 3 {
				if ready := fleet.routerReady(number); ready != (number != drainedZone) {
					t.Errorf("router-%d is ready: %t", number, ready)
				}
			}
			time.Sleep(drainWindow - 2*time.Second)
			for shard := range 2 {
				if at := fleet.leaderNumber(shard); at < 0 || at == drainedZone {
					t.Errorf("part %d is led by core-%d before the window ends, in the drained region is core-%d", shard, at, drainedZone)
				}
			}
			if kill {
				killed := fleet.shardLeader(0)
				fleet.killDaemon(killed)
				startedAt := time.Now()
				for time.Since(startedAt) < 10*time.Second && (fleet.leaderNumber(0) < 0 || fleet.leaderNumber(1) < 0) {
					time.Sleep(200 * time.Millisecond)
				}
				t.Logf("led again after %v by core-%d and core-%d", time.Since(startedAt), fleet.leaderNumber(0), fleet.leaderNumber(1))
				for shard := range 2 {
					if at := fleet.leaderNumber(shard); at < 0 || at == drainedZone {
						t.Errorf("part %d is led by core-%d after a leader was killed", shard, at)
					}
				}
				fleet.startDaemon(killed)
			}
			time.Sleep(3 * time.Second)
			after := fleet.countEngineRuns(fmt.Sprint("engine-", drainedZone)) + fleet.countEngineRuns(fmt.Sprint("engine-", drainedZone+3))
			t.Logf("the region's engines ran %d, and %d later", before, after-before)
			if after != before || before == 0 {
				t.Errorf("the engines of the drained region had %d runs at first and %d later", before, after)
			}
			if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], true); err != nil {
				fleet.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			if !fleet.routerReady(drainedZone) {
				t.Error("the router is not ready after the notice was taken back")
			}
		})
		minimumShare := 0.97
		if kill {
			minimumShare = 0.9
		}
		checkCompleteShare(t, results, minimumShare)
	})
}

func TestRegionDrain_MovesLeadership(t *testing.T) { testRegionDrain(t, false) }

// The region goes dark as a whole a second into its window.
func TestRegionDrain_RegionIsolatedEarly(t *testing.T) {
	runScenarioFor(t, multiRegionDeployment(), 200, func(fleet *testFleet) {
		fleet.delayCrossRegionLinks(allDaemons...)
		results := fleet.loadDuring(30, func() {
			drainedZone := fleet.leaderNumber(0)
			if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], false); err != nil {
				fleet.Fatal(err)
			}
			time.Sleep(drainDelay + time.Second)
			inside := []string{fmt.Sprint("core-", drainedZone), fmt.Sprint("router-", drainedZone), fmt.Sprint("engine-", drainedZone), fmt.Sprint("engine-", drainedZone+3)}
			for _, daemonName := range inside {
				var others []string
				for _, other := range fleet.daemonNames() {
					if !slices.Contains(inside, other) {
						others = append(others, other)
					}
				}
				fleet.Isolate(daemonName, others)
			}
			startedAt := time.Now()
			for time.Since(startedAt) < 10*time.Second && (fleet.leaderOutside(0, drainedZone) < 0 || fleet.leaderOutside(1, drainedZone) < 0) {
				time.Sleep(200 * time.Millisecond)
			}
			t.Logf("led elsewhere %v after the cut", time.Since(startedAt))
			if time.Since(startedAt) > 2*time.Second {
				t.Error("leadership had not left before the cut")
			}
			time.Sleep(8 * time.Second)
			fleet.Heal()
		})
		checkCompleteShare(t, results, 0.97)
	})
}

// leaderOutside is a core that owns a part and is not the given one, -1 if none does.
func (t *testFleet) leaderOutside(shard, excluded int) int {
	for number, address := range t.serverAddresses {
		if overview := t.fetchOverview(address); number != excluded && len(overview.Shards) > shard && overview.Shards[shard].Owner {
			return number
		}
	}
	return -1
}

func TestRegionDrain_LeaderCrashesInWindow(t *testing.T) { testRegionDrain(t, true) }

// The seats of a drained region go to reserves elsewhere, one at a time, and no further
// than the bound for one hall allows.
func TestRegionDrain_MovesMembership(t *testing.T) {
	runStandbyScenario(t, func(fleet *testFleet) {
		fleet.awaitVotingMembers(5, 14*time.Second)
		countVoters := func(zoneIndex int) int {
			voters := 0
			for _, number := range []int{zoneIndex, zoneIndex + 3} {
				if fleet.votesInAllShards(fleet.serverAddresses[number]) {
					voters++
				}
			}
			return voters
		}
		drainedZone := 0
		for zoneIndex := range 3 {
			if countVoters(zoneIndex) == 2 {
				drainedZone = zoneIndex
			}
		}
		if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], false); err != nil {
			fleet.Fatal(err)
		}
		time.Sleep(drainDelay + drainWindow)
		fleet.awaitVotingMembers(5, 14*time.Second)
		if remaining := countVoters(drainedZone); remaining != 1 {
			t.Errorf("%d cores of the region have seats; one reserve stands elsewhere", remaining)
		}
		for shard := range 2 {
			if at := fleet.leaderNumber(shard); at < 0 || at%3 == drainedZone {
				t.Errorf("part %d is led by core-%d", shard, at)
			}
		}
	})
}
