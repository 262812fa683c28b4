package simulation_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
)

// runStandbyScenario is a fleet of cores alone: five seats, three seeds, six cores in three halls.
func runStandbyScenario(t *testing.T, scenario func(*testFleet)) {
	t.Parallel()
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{
			T: t, MemoryNetwork: simulation.NewMemoryNetwork(200), deployment: multiRegionDeployment(), engines: map[string]*emulator.Engine{}, processes: map[string]*process{},
			dataDirectory: directory, observers: map[string]*emulator.Observer{}, starters: map[string]func() func(context.Context) error{},
		}
		defer fleet.shutDown()
		for number := range 3 {
			fleet.seeds = append(fleet.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		}
		for number := range 6 {
			fleet.serverAddresses = append(fleet.serverAddresses, fmt.Sprintf("127.0.0.%d:2", number))
			fleet.addStandbyServer(number, true)
			fleet.startDaemon(fmt.Sprint("core-", number))
		}
		scenario(fleet)
	})
}

func (t *testFleet) addStandbyServer(number int, first bool) {
	name, internalAddress := fmt.Sprint("core-", number), fmt.Sprintf("10.0.0.%d:1", number)
	daemonSettings := controlplane.Settings{
		Common:   settings.Common{Name: name, Zone: defaultZones[number%3], Fleet: "stage", Public: t.serverAddresses[number], Seeds: t.seeds, ReplicasPerShard: 5, RegionByZone: t.regionOf},
		Internal: settings.Internal{InternalAddress: internalAddress, Shards: 2}, Timing: settings.Timing{DeltaMillis: 200, LeaseMillis: 3000}, CompactionMiB: 16,
		DataDirectory: filepath.Join(t.dataDirectory, name), FirstStart: first, JoinExisting: !first, Standby: true,
	}
	t.addDaemon(name, internalAddress, daemonSettings.Public, func(host simulation.Host) (daemon, error) {
		return controlplane.New(daemonSettings, uint64(clock.FromDuration(time.Since(time.Unix(0, 0)))), host)
	})
}

// countVotingMembers is the least number of seats of a part whose holders may vote, and the most of them
// in one hall.
func (t *testFleet) countVotingMembers() (count int, maximum int) {
	count = 5
	for shard := range 2 {
		perZone, voters := map[string]int{}, 0
		for number, address := range t.serverAddresses {
			if t.processes[fmt.Sprint("core-", number)] == nil {
				continue
			}
			overview := t.fetchOverview(address)
			if len(overview.Shards) <= shard {
				continue
			}
			if shardOverview := overview.Shards[shard]; shardOverview.Slot >= 0 && !shardOverview.CatchingUp && shardOverview.UpToDate {
				voters++
				perZone[defaultZones[number%3]]++
				maximum = max(maximum, perZone[defaultZones[number%3]])
			}
		}
		count = min(count, voters)
	}
	return count, maximum
}

func (t *testFleet) awaitVotingMembers(want int, within time.Duration) {
	startedAt := time.Now()
	for time.Since(startedAt) < within {
		if count, maximum := t.countVotingMembers(); count == want && maximum <= 2 {
			t.Logf("%d seats held after %v", want, time.Since(startedAt))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, address := range t.serverAddresses {
		overview := t.fetchOverview(address)
		t.Logf("%s %+v", overview.Name, overview.Shards)
	}
	count, maximum := t.countVotingMembers()
	t.Errorf("%d seats are held after %v, at most %d in a hall; wanted %d and 2", count, within, maximum, want)
}

// Seeds name three cores only; the others take the seats that are left, and a seat whose
// holder falls silent goes to the one in reserve.
func TestStandbyServer_BecomesMember(t *testing.T) {
	runStandbyScenario(t, func(fleet *testFleet) {
		fleet.awaitVotingMembers(5, 14*time.Second)
		fleet.killDaemon(fleet.shardLeader(0))
		fleet.awaitVotingMembers(5, 14*time.Second)
		if fleet.shardLeader(0) == "" || fleet.shardLeader(1) == "" {
			t.Error("no leader after a seat has changed hands")
		}
	})
}

// Two disks are lost while all others lose power: what was acknowledged is still there.
func TestFiveMembers_SurviveTwoLostDisks(t *testing.T) {
	runStandbyScenario(t, func(fleet *testFleet) {
		fleet.awaitVotingMembers(5, 14*time.Second)
		before := uint64(0)
		for _, address := range fleet.serverAddresses {
			for _, shard := range fleet.fetchOverview(address).Shards {
				before = max(before, shard.CommitIndex)
			}
		}
		var wiped []int
		for number, address := range fleet.serverAddresses {
			if len(wiped) < 2 && fleet.votesInAllShards(address) {
				wiped = append(wiped, number)
			}
		}
		for number := range fleet.serverAddresses {
			fleet.killDaemon(fmt.Sprint("core-", number))
		}
		for _, number := range wiped {
			fleet.wipeDisk(fmt.Sprint("core-", number))
		}
		for number := range fleet.serverAddresses {
			fleet.addStandbyServer(number, false)
			fleet.startDaemon(fmt.Sprint("core-", number))
		}
		fleet.awaitVotingMembers(5, 25*time.Second)
		after := uint64(0)
		for _, address := range fleet.serverAddresses {
			for _, shard := range fleet.fetchOverview(address).Shards {
				after = max(after, shard.CommitIndex)
			}
		}
		if after < before {
			t.Errorf("committed up to %d before, %d after", before, after)
		}
	})
}

// Two cores come back without their disks: each is offered what routers have once, not at
// each of their reads for as long as it recovers. One alone is given a copy by the leader.
func TestRouters_OfferSnapshotOnce(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		for _, name := range []string{"core-1", "core-2"} {
			fleet.killDaemon(name)
			fleet.wipeDisk(name)
		}
		time.Sleep(time.Second)
		fleet.startDaemon("core-1")
		fleet.startDaemon("core-2")
		time.Sleep(6 * time.Second)
		offered := int64(0)
		for _, address := range fleet.routerAddresses {
			var counters map[string]int64
			target := adminclient.Client{Cores: []string{address}, Network: simulation.Host{MemoryNetwork: fleet.MemoryNetwork, Name: "operator"}}
			if err := target.Get("/counters", &counters); err != nil {
				t.Fatal(err)
			}
			offered += counters["copies-offered"]
		}
		// Two cores of two parts, and three routers that may ask before the first offer has arrived.
		if offered < 4 || offered > 24 {
			t.Errorf("%d copies were offered", offered)
		}
	})
}
