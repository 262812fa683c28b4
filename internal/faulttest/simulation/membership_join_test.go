package simulation_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

// joinLimit is the users' shortest catch-up-s: so long after its start a server must vote, so that the
// group survives the next loss.
const joinLimit = 4 * time.Second

// runThreeServerScenario runs a scenario on three servers alone, with the settings that the users' platform
// gives.
func runThreeServerScenario(t *testing.T, scenario func(*testFleet)) {
	t.Helper()
	t.Parallel()
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, directory, smallDeployment(), 200)
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

// addJoiningServer adds a server at an address of its own, in the zone with an index; operators ask it in
// place of the one that had the index.
func (t *testFleet) addJoiningServer(number, index int, first bool) {
	name := fmt.Sprint("core-", number)
	internalAddress := fmt.Sprintf("10.0.0.%d:1", number)
	publicAddress := fmt.Sprintf("127.0.0.%d:2", number)
	if index == len(t.serverAddresses) {
		t.serverAddresses = append(t.serverAddresses, "")
	}
	t.serverAddresses[index] = publicAddress
	t.addSelfPlacingServer(settings.Common{
		Name:             name,
		Zone:             defaultZones[index],
		Public:           publicAddress,
		ReplicasPerShard: 3,
	}, internalAddress, first)
}

// timeToVote waits until a server votes in every shard, and returns how long that took.
func (t *testFleet) timeToVote(number int) time.Duration {
	address, startedAt := fmt.Sprintf("127.0.0.%d:2", number), time.Now()
	for !t.votesInAllShards(address) && time.Since(startedAt) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// checkSurvivesLoss checks that the others acknowledge changes without a server.
func (t *testFleet) checkSurvivesLoss(victim string) {
	t.killDaemon(victim)
	if duration := t.acknowledgementTime(); duration > 4*time.Second {
		t.Errorf("without %s a change was acknowledged only after %v", victim, duration)
	}
}

// joinMethod has a member fail and come back, or be replaced, and returns the number of the server that is
// a member afterwards.
type joinMethod func(fleet *testFleet, old, replacement int) int

// joinMethods are the ways in which a member can come back.
var joinMethods = map[string]joinMethod{
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

// TestJoiningServer_VotesWithinLimit has a member fail and come back in each way: within catch-up-s of its
// start the group survives the loss of any other member, and no committed entry is lost.
func TestJoiningServer_VotesWithinLimit(t *testing.T) {
	for name, join := range joinMethods {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader %v", name, leads), func(t *testing.T) {
				runThreeServerScenario(t, func(fleet *testFleet) { checkJoin(fleet, leads, join) })
			})
		}
	}
}

// checkJoin replaces the leader or a follower, and then loses another member.
func checkJoin(fleet *testFleet, leads bool, join joinMethod) {
	old := fleet.leaderNumber(0)
	if !leads {
		old = (old + 1) % 3
	}
	fleet.evacuateZone("sur")
	replacement := join(fleet, old, 3)
	duration := fleet.timeToVote(replacement)
	fleet.Logf("joined after %v", duration)
	if duration > joinLimit {
		fleet.Errorf("a vote only after %v", duration)
	}
	before := fleet.highestCommit()
	fleet.checkSurvivesLoss(fmt.Sprint("core-", (old+1)%3))
	if after := fleet.highestCommit(); after < before {
		fleet.Errorf("committed up to %d before the loss, %d after", before, after)
	}
}

// highestCommit returns the highest commit index of the first shard that any server reports.
func (t *testFleet) highestCommit() uint64 {
	highest := uint64(0)
	for _, address := range t.serverAddresses {
		if shards := t.fetchOverview(address).Shards; len(shards) > 0 {
			highest = max(highest, shards[0].CommitIndex)
		}
	}
	return highest
}

// evacuateZone has the evacuation of a zone acknowledged, or fails the test.
func (t *testFleet) evacuateZone(zone string) {
	observer := newFleetObserver(&fleetSoak{testFleet: t, startedAt: time.Now()}, "")
	if done := observer.sendChange(evacuationRequest(zone)); done.resultCode != errcode.OK {
		t.Fatalf("not acknowledged: %d", done.resultCode)
	}
}
