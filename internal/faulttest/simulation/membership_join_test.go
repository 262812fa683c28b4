package simulation_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
)

// joinLimit is the users' shortest catch-up-s: a machine counts as lost until so long after
// its start, and then the group must bear the next loss.
const joinLimit = 4 * time.Second

// runThreeServerScenario is a fleet of three cores alone, with the settings that the users' platform gives.
func runThreeServerScenario(t *testing.T, scenario func(*testFleet)) {
	t.Parallel()
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{
			T: t, MemoryNetwork: simulation.NewMemoryNetwork(200), deployment: smallDeployment(), engines: map[string]*emulator.Engine{}, processes: map[string]*process{},
			dataDirectory: directory, observers: map[string]*emulator.Observer{}, starters: map[string]func() func(context.Context) error{},
		}
		defer fleet.shutDown()
		for number := range 3 {
			fleet.seeds = append(fleet.seeds, fmt.Sprintf("10.0.0.%d:1", number))
		}
		for number := range 3 {
			fleet.addJoiningServer(number, number, true)
			fleet.startDaemon(fmt.Sprint("core-", number))
		}
		fleet.applyDocument()
		time.Sleep(5 * time.Second)
		for number := range 3 {
			fleet.addJoiningServer(number, number, false)
		}
		scenario(fleet)
	})
}

// addJoiningServer adds a core at an address of its own, in the hall of a place; operators ask it in
// place of the one that was there.
func (t *testFleet) addJoiningServer(number, index int, first bool) {
	name, internalAddress, publicAddress := fmt.Sprint("core-", number), fmt.Sprintf("10.0.0.%d:1", number), fmt.Sprintf("127.0.0.%d:2", number)
	if index == len(t.serverAddresses) {
		t.serverAddresses = append(t.serverAddresses, "")
	}
	t.serverAddresses[index] = publicAddress
	daemonSettings := controlplane.Settings{
		Common:   settings.Common{Name: name, Zone: defaultZones[index], Fleet: "stage", Public: publicAddress, Seeds: t.seeds, ReplicasPerShard: 3, RegionByZone: t.regionOf},
		Internal: settings.Internal{InternalAddress: internalAddress, Shards: 2}, Timing: settings.Timing{DeltaMillis: 200, LeaseMillis: 3000}, CompactionMiB: 16,
		DataDirectory: filepath.Join(t.dataDirectory, name), FirstStart: first, JoinExisting: !first, Standby: true,
	}
	t.addDaemon(name, internalAddress, publicAddress, func(host simulation.Host) (daemon, error) {
		return controlplane.New(daemonSettings, uint64(clock.FromDuration(time.Since(time.Unix(0, 0)))), host)
	})
}

// timeToVote says how long it takes until a core has a vote in every part.
func (t *testFleet) timeToVote(number int) time.Duration {
	address, startedAt := fmt.Sprintf("127.0.0.%d:2", number), time.Now()
	for !t.votesInAllShards(address) && time.Since(startedAt) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// checkSurvivesLoss checks that the rest go on without a core.
func (t *testFleet) checkSurvivesLoss(victim string) {
	t.killDaemon(victim)
	if duration := t.acknowledgementTime(); duration > 4*time.Second {
		t.Errorf("without %s a change was acknowledged only after %v", victim, duration)
	}
}

// A member is gone and comes back in each way there is: within catch-up-s of its start the
// group bears the loss of any other member, and what was acknowledged is still there.
func TestJoiningServer_VotesWithinLimit(t *testing.T) {
	joinMethods := map[string]func(fleet *testFleet, old, replacement int) int{
		"restart in place": func(fleet *testFleet, old, _ int) int {
			fleet.killDaemon(fmt.Sprint("core-", old))
			time.Sleep(time.Second)
			fleet.startDaemon(fmt.Sprint("core-", old))
			return old
		},
		"restart without its disk": func(fleet *testFleet, old, _ int) int {
			fleet.killDaemon(fmt.Sprint("core-", old))
			fleet.wipeDisk(fmt.Sprint("core-", old))
			time.Sleep(time.Second)
			fleet.startDaemon(fmt.Sprint("core-", old))
			return old
		},
		"empty at another address": func(fleet *testFleet, old, replacement int) int {
			fleet.killDaemon(fmt.Sprint("core-", old))
			time.Sleep(time.Second)
			fleet.addJoiningServer(replacement, old, false)
			fleet.startDaemon(fmt.Sprint("core-", replacement))
			return replacement
		},
		"planned": func(fleet *testFleet, old, replacement int) int {
			fleet.addJoiningServer(replacement, old, false)
			fleet.startDaemon(fmt.Sprint("core-", replacement))
			time.Sleep(time.Second)
			fleet.stopGracefully(fmt.Sprint("core-", old))
			return replacement
		},
	}
	for name, join := range joinMethods {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader %v", name, leads), func(t *testing.T) {
				runThreeServerScenario(t, func(fleet *testFleet) {
					leader := int(fleet.shardLeader(0)[5] - '0')
					old := leader
					if !leads {
						old = (leader + 1) % 3
					}
					fleet.evacuateZone("sur")
					replacement := join(fleet, old, 3)
					duration := fleet.timeToVote(replacement)
					if t.Logf("joined after %v", duration); duration > joinLimit {
						t.Errorf("a vote only after %v", duration)
					}
					before := fleet.highestCommit()
					fleet.checkSurvivesLoss(fmt.Sprint("core-", (old+1)%3))
					if after := fleet.highestCommit(); after < before {
						t.Errorf("committed up to %d before the loss, %d after", before, after)
					}
				})
			})
		}
	}
}

// highestCommit is the highest commit of the first part that any core shows.
func (t *testFleet) highestCommit() uint64 {
	highest := uint64(0)
	for _, address := range t.serverAddresses {
		if shards := t.fetchOverview(address).Shards; len(shards) > 0 {
			highest = max(highest, shards[0].CommitIndex)
		}
	}
	return highest
}

// evacuateZone has a change acknowledged, or fails.
func (t *testFleet) evacuateZone(zone string) {
	observer := newFleetObserver(&fleetSoak{testFleet: t, startedAt: time.Now()}, "")
	if done := observer.sendChange(config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: zone}); done.resultCode != errcode.OK {
		t.Fatalf("not acknowledged: %d", done.resultCode)
	}
}
