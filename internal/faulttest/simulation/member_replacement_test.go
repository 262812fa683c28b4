package simulation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coursepass/internal/adminclient"
)

func (t *testFleet) awaitMembership(address string) {
	startedAt := time.Now()
	for !t.votesInAllShards(address) {
		if time.Sleep(100 * time.Millisecond); time.Since(startedAt) > 20*time.Second {
			t.Fatalf("%s is no member after %v: %+v", address, time.Since(startedAt), t.fetchOverview(address))
		}
	}
	t.Logf("%s is a member after %v", address, time.Since(startedAt))
}

// awaitReservations waits until a server knows the one-shot keys that the others have: only then do
// requests find a majority without another server. From its start on it has the catch-up time.
func (t *testFleet) awaitReservations(address string, startedAt time.Time) {
	for !t.fetchOverview(address).Shards[1].ReservationsComplete {
		if time.Sleep(20 * time.Millisecond); time.Since(startedAt) > 20*time.Second {
			t.Fatalf("%s does not know the reservations after %v", address, time.Since(startedAt))
		}
	}
	t.Logf("%s knows the reservations after %v", address, time.Since(startedAt))
}

// A server comes back with an empty disk at a new address; then another server is killed, and the returned
// one is needed for the majority.
func TestServer_ReturnsEmptyAtNewAddress(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(30, func() {
			fleet.killDaemon("core-2")
			fleet.wipeDisk("core-2")
			fleet.addServer("core-2", "sur", "10.0.0.9:1", "127.0.0.9:2", "")
			fleet.serverAddresses[2] = "127.0.0.9:2"
			time.Sleep(time.Second)
			startedAt := time.Now()
			fleet.startDaemon("core-2")
			fleet.awaitMembership("127.0.0.9:2")
			fleet.awaitReservations("127.0.0.9:2", startedAt)
			fleet.killDaemon("core-0")
			time.Sleep(10 * time.Second)
			if fleet.serviceLeader() == "" {
				t.Error("no leader with the returned server and one other")
			}
			small := &adminclient.SetParameters{ChangeCommand: fleet.newChange()}
			small.Arguments.Pairs = []string{"startMilliseconds=450"}
			if err := small.Run(); err != nil {
				t.Error(err)
			}
		})
		checkCompleteShare(t, results, 0.98)
	})
}

// All three seeds are replaced by other servers, one by one, under load; routers that know only the old
// ones by their settings go on. A new server has the current addresses in its settings.
func TestSeedServers_ReplacedOneByOne(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		results := fleet.loadDuring(60, func() {
			for number := range 3 {
				old, replacement := fmt.Sprint("core-", number), fmt.Sprint("core-", number+3)
				fleet.seeds = slices.Clone(fleet.seeds)
				fleet.seeds[number] = fmt.Sprintf("10.0.3.%d:1", number)
				fleet.addServer(replacement, defaultZones[number], fmt.Sprintf("10.0.3.%d:1", number), fmt.Sprintf("127.0.3.%d:2", number), old)
				fleet.killDaemon(old)
				delete(fleet.starters, old)
				fleet.startDaemon(replacement)
				fleet.serverAddresses[number] = fmt.Sprintf("127.0.3.%d:2", number)
				fleet.awaitMembership(fleet.serverAddresses[number])
				time.Sleep(2 * time.Second)
			}
		})
		checkCompleteShare(t, results, 0.97)
		if duration := fleet.awaitRecovery(); duration > recoveryLimit {
			t.Errorf("the fleet served only after %v", duration)
		}
	})
}

// A live member is not replaced without an override, a replaced one that comes back does not vote, and a
// daemon of another fleet becomes no member.
func TestMembership_IsNotTakenFromLiveServer(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.addServer("core-9", "sur", "10.0.0.9:1", "127.0.0.9:2", "core-1")
		fleet.startDaemon("core-9")
		time.Sleep(8 * time.Second)
		if overview := fleet.fetchOverview("127.0.0.9:2"); overview.Shards[0].Slot >= 0 || overview.Shards[1].Slot >= 0 {
			t.Errorf("a live member was replaced: %+v", overview.Shards)
		}
		fleet.killDaemon("core-1")
		fleet.awaitMembership("127.0.0.9:2")
		fleet.startDaemon("core-1")
		time.Sleep(6 * time.Second)
		if overview := fleet.fetchOverview("127.0.0.1:2"); overview.Shards[0].Slot >= 0 || overview.Shards[1].Slot >= 0 {
			t.Errorf("the replaced member still has a slot: %+v", overview.Shards)
		}
		if !fleet.votesInAllShards("127.0.0.9:2") || !fleet.votesInAllShards("127.0.0.0:2") {
			t.Error("the new member or another one was removed")
		}
	})
}
