package simulation_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
)

// votingMembers is the number of members of each shard, and maxMembersPerZone the most in one zone.
const (
	votingMembers     = 5
	maxMembersPerZone = 2
)

// runStandbyScenario runs a scenario on servers alone: five members, three seeds, six servers in three
// zones.
func runStandbyScenario(t *testing.T, scenario func(*testFleet)) {
	t.Helper()
	t.Parallel()
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, directory, multiRegionDeployment(), 200)
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
	t.addSelfPlacingServer(settings.Common{
		Name:             name,
		Zone:             defaultZones[number%3],
		Public:           t.serverAddresses[number],
		ReplicasPerShard: votingMembers,
	}, internalAddress, first)
}

// addSelfPlacingServer adds a server that becomes a member, or stands by, as there is a place. At the first
// start of a fleet it may found the group.
func (t *testFleet) addSelfPlacingServer(common settings.Common, internalAddress string, first bool) {
	common.Fleet = "stage"
	common.Seeds = t.seeds
	common.RegionByZone = t.regionOf
	daemonSettings := controlplane.Settings{
		Common:        common,
		Internal:      settings.Internal{InternalAddress: internalAddress, Shards: 2},
		Timing:        settings.Timing{DeltaMillis: 200, LeaseMillis: 3000},
		CompactionMiB: 16,
		DataDirectory: filepath.Join(t.dataDirectory, common.Name),
		FirstStart:    first,
		JoinExisting:  !first,
		Standby:       true,
	}
	t.addDaemon(common.Name, internalAddress, common.Public, func(host simulation.Host) (daemon, error) {
		incarnation := uint64(clock.FromDuration(time.Since(time.Unix(0, 0))))
		return controlplane.New(daemonSettings, incarnation, host)
	})
}

// countVotingMembers returns the least number of voting members of a shard, and the greatest number of
// them in one zone.
func (t *testFleet) countVotingMembers() (count int, maximum int) {
	count = votingMembers
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

// awaitVotingMembers waits until all shards have votingMembers voting members, not too many in one zone.
func (t *testFleet) awaitVotingMembers(within time.Duration) {
	startedAt := time.Now()
	for time.Since(startedAt) < within {
		if count, maximum := t.countVotingMembers(); count == votingMembers && maximum <= maxMembersPerZone {
			t.Logf("%d voting members after %v", count, time.Since(startedAt))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, address := range t.serverAddresses {
		overview := t.fetchOverview(address)
		t.Logf("%s %+v", overview.Name, overview.Shards)
	}
	count, maximum := t.countVotingMembers()
	t.Errorf("%d voting members after %v, at most %d in a zone; wanted %d and %d",
		count, within, maximum, votingMembers, maxMembersPerZone)
}

// TestStandbyServer_BecomesMember has seeds name three servers only: others become members until there are
// five, and the standby server replaces a member that fails.
func TestStandbyServer_BecomesMember(t *testing.T) {
	runStandbyScenario(t, func(fleet *testFleet) {
		fleet.awaitVotingMembers(14 * time.Second)
		fleet.killDaemon(fleet.shardLeader(0))
		fleet.awaitVotingMembers(14 * time.Second)
		if fleet.shardLeader(0) == "" || fleet.shardLeader(1) == "" {
			t.Error("no leader after a member was replaced")
		}
	})
}

// TestFiveMembers_SurviveTwoLostDisks loses two disks while all servers are down: no committed entry is lost.
func TestFiveMembers_SurviveTwoLostDisks(t *testing.T) {
	runStandbyScenario(t, func(fleet *testFleet) {
		fleet.awaitVotingMembers(14 * time.Second)
		before := fleet.highestCommitOfAnyShard()
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
		fleet.awaitVotingMembers(25 * time.Second)
		if after := fleet.highestCommitOfAnyShard(); after < before {
			t.Errorf("committed up to %d before, %d after", before, after)
		}
	})
}

// highestCommitOfAnyShard returns the highest commit index that any server reports.
func (t *testFleet) highestCommitOfAnyShard() uint64 {
	highest := uint64(0)
	for _, address := range t.serverAddresses {
		for _, shard := range t.fetchOverview(address).Shards {
			highest = max(highest, shard.CommitIndex)
		}
	}
	return highest
}

// TestRouters_OfferSnapshotOnce has two servers come back without their disks: routers offer their state to
// each once, not at each of their reads for as long as it recovers. (One alone would get a snapshot from
// the leader.)
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
			target := fleet.newOperatorClient(address)
			if err := target.Get("/counters", &counters); err != nil {
				t.Fatal(err)
			}
			offered += counters["copies-offered"]
		}
		// Two servers with two shards each, and three routers that may read before the first offer arrives.
		if offered < 4 || offered > 24 {
			t.Errorf("%d snapshots were offered", offered)
		}
	})
}
