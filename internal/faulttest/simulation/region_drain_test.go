package simulation_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
)

// regionOfZone has each zone in a region of its own, 20 ms from the others.
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

// delayCrossRegionLinks delays the links between daemons of different regions.
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

// routerReady reports whether a router is ready, as the platform asks it.
func (t *testFleet) routerReady(number int) bool {
	client := t.newHTTPClient("operator")
	client.Timeout = time.Second
	response, err := client.Do(t.newGet("http://" + t.routerAddresses[number] + "/ready"))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// leaderNumber returns the number of the server that leads a shard, -1 if none does.
func (t *testFleet) leaderNumber(shard int) int {
	return daemonNumber(t.shardLeader(shard))
}

var allDaemons = []string{
	"core-0", "core-1", "core-2",
	"router-0", "router-1", "router-2",
	"engine-0", "engine-1", "engine-2", "engine-3", "engine-4", "engine-5",
}

// testRegionDrain drains the region of a leader under load. The fault happens in the window.
func testRegionDrain(t *testing.T, minimumShare float64, injectFault func(fleet *testFleet, drainedZone int)) {
	t.Helper()
	runScenarioFor(t, multiRegionDeployment(), 200, func(fleet *testFleet) {
		fleet.delayCrossRegionLinks(allDaemons...)
		results := fleet.loadDuring(30, func() { drainAndReturn(fleet, injectFault) })
		checkCompleteShare(t, results, minimumShare)
	})
}

// drainAndReturn drains the region of the leader, checks that routers, leaders and engines leave it, and
// cancels the drain.
func drainAndReturn(fleet *testFleet, injectFault func(fleet *testFleet, drainedZone int)) {
	drainedZone := fleet.leaderNumber(0)
	if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], false); err != nil {
		fleet.Fatal(err)
	}
	time.Sleep(drainDelay + time.Second)
	before := fleet.countZoneRuns(drainedZone)
	for number := range 3 {
		if ready := fleet.routerReady(number); ready != (number != drainedZone) {
			fleet.Errorf("router-%d is ready: %t", number, ready)
		}
	}
	time.Sleep(drainWindow - 2*time.Second)
	fleet.checkLeadersOutside(drainedZone, "before the window ends")
	injectFault(fleet, drainedZone)
	time.Sleep(3 * time.Second)
	after := fleet.countZoneRuns(drainedZone)
	fleet.Logf("the region's engines had %d runs, and %d later", before, after-before)
	if after != before || before == 0 {
		fleet.Errorf("the engines of the drained region had %d runs at first and %d later", before, after)
	}
	if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], true); err != nil {
		fleet.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	if !fleet.routerReady(drainedZone) {
		fleet.Error("the router is not ready after the drain was cancelled")
	}
}

// countZoneRuns returns the number of runs in the logs of a zone's engines.
func (t *testFleet) countZoneRuns(zoneIndex int) int {
	return t.countEngineRuns(fmt.Sprint("engine-", zoneIndex)) + t.countEngineRuns(fmt.Sprint("engine-", zoneIndex+3))
}

// checkLeadersOutside checks that both shards are led by servers outside of a zone.
func (t *testFleet) checkLeadersOutside(drainedZone int, when string) {
	for shard := range 2 {
		if leader := t.leaderNumber(shard); leader < 0 || leader%3 == drainedZone {
			t.Errorf("shard %d is led by core-%d %s; drained is zone %d", shard, leader, when, drainedZone)
		}
	}
}

// crashLeaderInWindow kills the new leader, and checks that the next one is not in the drained region.
func crashLeaderInWindow(fleet *testFleet, drainedZone int) {
	killed := fleet.shardLeader(0)
	fleet.killDaemon(killed)
	startedAt := time.Now()
	hasLeaders := func() bool { return fleet.leaderNumber(0) >= 0 && fleet.leaderNumber(1) >= 0 }
	for time.Since(startedAt) < 10*time.Second && !hasLeaders() {
		time.Sleep(200 * time.Millisecond)
	}
	fleet.Logf("led again after %v by core-%d and core-%d",
		time.Since(startedAt), fleet.leaderNumber(0), fleet.leaderNumber(1))
	fleet.checkLeadersOutside(drainedZone, "after a leader was killed")
	fleet.startDaemon(killed)
}

func TestRegionDrain_MovesLeadership(t *testing.T) {
	testRegionDrain(t, 0.97, func(*testFleet, int) {})
}

// TestRegionDrain_RegionIsolatedEarly isolates the region a second into its window.
func TestRegionDrain_RegionIsolatedEarly(t *testing.T) {
	runScenarioFor(t, multiRegionDeployment(), 200, func(fleet *testFleet) {
		fleet.delayCrossRegionLinks(allDaemons...)
		results := fleet.loadDuring(30, func() {
			drainedZone := fleet.leaderNumber(0)
			if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], false); err != nil {
				fleet.Fatal(err)
			}
			time.Sleep(drainDelay + time.Second)
			fleet.isolateZone(drainedZone)
			startedAt := time.Now()
			hasLeaders := func() bool {
				return fleet.leaderOutside(0, drainedZone) >= 0 && fleet.leaderOutside(1, drainedZone) >= 0
			}
			for time.Since(startedAt) < 10*time.Second && !hasLeaders() {
				time.Sleep(200 * time.Millisecond)
			}
			t.Logf("led outside of the region %v after the partition", time.Since(startedAt))
			if time.Since(startedAt) > 2*time.Second {
				t.Error("leadership had not left before the partition")
			}
			time.Sleep(8 * time.Second)
			fleet.Heal()
		})
		checkCompleteShare(t, results, 0.97)
	})
}

// isolateZone partitions all daemons of a zone from the others.
func (t *testFleet) isolateZone(zoneIndex int) {
	inside := []string{
		fmt.Sprint("core-", zoneIndex),
		fmt.Sprint("router-", zoneIndex),
		fmt.Sprint("engine-", zoneIndex),
		fmt.Sprint("engine-", zoneIndex+3),
	}
	outside := slices.DeleteFunc(t.daemonNames(), func(name string) bool { return slices.Contains(inside, name) })
	for _, name := range inside {
		t.Isolate(name, outside)
	}
}

// leaderOutside returns a server other than the given one that leads a shard, -1 if there is none.
func (t *testFleet) leaderOutside(shard, excluded int) int {
	for number, address := range t.serverAddresses {
		shards := t.fetchOverview(address).Shards
		if number != excluded && len(shards) > shard && shards[shard].Owner {
			return number
		}
	}
	return -1
}

func TestRegionDrain_LeaderCrashesInWindow(t *testing.T) {
	testRegionDrain(t, 0.9, crashLeaderInWindow)
}

// TestRegionDrain_MovesMembership checks that standby servers elsewhere replace the members of a drained
// region, one at a time, as far as the limit of members in one zone allows.
func TestRegionDrain_MovesMembership(t *testing.T) {
	runStandbyScenario(t, func(fleet *testFleet) {
		fleet.awaitVotingMembers(14 * time.Second)
		drainedZone := 0
		for zoneIndex := range 3 {
			if fleet.countZoneVoters(zoneIndex) == 2 {
				drainedZone = zoneIndex
			}
		}
		if err := fleet.drainRegion(regionOfZone[defaultZones[drainedZone]], false); err != nil {
			fleet.Fatal(err)
		}
		time.Sleep(drainDelay + drainWindow)
		fleet.awaitVotingMembers(14 * time.Second)
		if remaining := fleet.countZoneVoters(drainedZone); remaining != 1 {
			t.Errorf("%d servers of the region are members; there is one standby server elsewhere", remaining)
		}
		fleet.checkLeadersOutside(drainedZone, "after the window")
	})
}

// countZoneVoters returns how many servers of a zone vote in all shards.
func (t *testFleet) countZoneVoters(zoneIndex int) int {
	voters := 0
	for _, number := range []int{zoneIndex, zoneIndex + 3} {
		if t.votesInAllShards(t.serverAddresses[number]) {
			voters++
		}
	}
	return voters
}
