package simulation_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

const (
	// largeChangeCount changes of largeChangeBytes are several times what one message to a learner contains.
	largeChangeCount = 40
	largeChangeBytes = 8 << 10
)

// growLog has many large changes acknowledged, so that a server without a disk needs several messages to catch up.
func (t *testFleet) growLog() {
	observer := newFleetObserver(&fleetSoak{testFleet: t, startedAt: time.Now()}, "")
	for number := range uint64(largeChangeCount) {
		routing := &config.Routing{
			Label:       number + 1,
			ParentLabel: number,
			Digest:      fmt.Sprint(number),
			Others:      []config.Item{{Name: "padding", Text: `"` + strings.Repeat("x", largeChangeBytes) + `"`}},
		}
		request := config.Request{Kind: config.OperationReplaceRoutes, Routing: routing}
		if done := observer.sendChange(request); done.resultCode != errcode.OK {
			t.Fatalf("change %d was not acknowledged: %d", number, done.resultCode)
		}
	}
}

// replaceAndLead replaces one of three servers by core-3 at another address, and has core-3 lead all shards. It returns
// the numbers of the two servers that remain.
func (t *testFleet) replaceAndLead() (remaining []int) {
	old := t.leaderNumber(0)
	t.killDaemon(fmt.Sprint("core-", old))
	time.Sleep(2 * time.Second)
	t.addJoiningServer(3, old, false)
	t.startDaemon("core-3")
	t.awaitMembership("127.0.0.3:2")
	for number := range 3 {
		if number != old {
			remaining = append(remaining, number)
		}
	}
	for range 10 {
		if t.leaderNumber(0) == 3 && t.leaderNumber(1) == 3 {
			return remaining
		}
		// A server that is cut off and returns does not lead for a while.
		for _, number := range remaining {
			if name := fmt.Sprint("core-", number); t.leaderNumber(0) == number || t.leaderNumber(1) == number {
				t.killDaemon(name)
				time.Sleep(4 * time.Second)
				t.startDaemon(name)
				time.Sleep(6 * time.Second)
			}
		}
	}
	t.Fatal("core-3 does not lead")
	return nil
}

// awaitCatchingUp waits until a server has copied a part of the log of shard 0.
func (t *testFleet) awaitCatchingUp(address string) {
	for range 5000 {
		if shards := t.fetchOverview(address).Shards; len(shards) > 0 && shards[0].CommitIndex > 0 {
			if !shards[0].CatchingUp {
				t.Fatalf("%s has copied the whole log", address)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s does not copy the log", address)
}

// loseDiskWhileCatchingUp has one of the remaining servers lose its disk, and once more while it copies the log. The
// leader, core-3, hears of the third disk only after its messages to the second one have arrived there.
func (t *testFleet) loseDiskWhileCatchingUp(number int) {
	lost, address := fmt.Sprint("core-", number), fmt.Sprintf("127.0.0.%d:2", number)
	others := slices.DeleteFunc(t.daemonNames(), func(name string) bool { return name == lost })
	t.DelayLink("core-3", lost, 50*clock.Millisecond)
	t.killDaemon(lost)
	t.wipeDisk(lost)
	t.startDaemon(lost)
	t.awaitCatchingUp(address)
	t.killDaemon(lost)
	t.wipeDisk(lost)
	joins := t.HoldWrites([]string{lost}, others, "/core/join")
	t.startDaemon(lost)
	time.Sleep(time.Second)
	joins.Deliver()
	t.DelayLink("core-3", lost, 0)
}

// A server loses its disk, and once more while it copies the log from a leader at an address that its earlier
// memberships do not name. The leader's messages to the second disk must not make the third one a learner: such a
// learner answered an address without a server, and stayed a learner for ever.
func TestLearner_LosesDiskWhileItCatchesUp(t *testing.T) {
	runThreeServerScenario(t, func(fleet *testFleet) {
		fleet.growLog()
		remaining := fleet.replaceAndLead()
		fleet.loseDiskWhileCatchingUp(remaining[0])
		fleet.awaitMembership(fmt.Sprintf("127.0.0.%d:2", remaining[0]))
		fleet.checkSurvivesLoss(fmt.Sprint("core-", remaining[1]))
	})
}

// After such a loss the third server leaves for good, and in a closing fault the leader loses its disk and the others
// lose power. What was acknowledged must be on the disks that are left: a learner for ever would have left one copy.
func TestLearner_ClosingFaultAfterDiskLoss(t *testing.T) {
	runThreeServerScenario(t, func(fleet *testFleet) {
		fleet.growLog()
		remaining := fleet.replaceAndLead()
		fleet.loseDiskWhileCatchingUp(remaining[0])
		time.Sleep(9 * time.Second)
		fleet.evacuateZone("sur")
		before := fleet.highestCommit()
		fleet.killDaemon(fmt.Sprint("core-", remaining[1]))
		time.Sleep(2 * time.Second)
		fleet.addJoiningServer(4, remaining[1], false)
		fleet.startDaemon("core-4")
		time.Sleep(9 * time.Second)
		survivors := []string{"core-3", "core-4", fmt.Sprint("core-", remaining[0])}
		for _, name := range survivors {
			fleet.killDaemon(name)
		}
		fleet.wipeDisk("core-3")
		for _, name := range survivors {
			fleet.startDaemon(name)
		}
		time.Sleep(12 * time.Second)
		if after := fleet.highestCommit(); after < before {
			fleet.Errorf("committed up to %d before the closing fault, %d after", before, after)
		}
		if duration := fleet.acknowledgementTime(); duration > 4*time.Second {
			fleet.Errorf("a change was acknowledged only after %v", duration)
		}
	})
}

// A server with the founding membership in its settings loses its disk three times, each time while it catches up, and
// the leader is at an address that the founding membership does not name.
func TestFoundingMember_LosesDiskThreeTimes(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.growLog()
		fleet.replaceFounder("core-1", "10.0.3.1:1", "127.0.3.1:2")
		fleet.awaitLeader("core-1", "core-0", "core-2")
		fleet.DelayLink("core-1", "core-2", 50*clock.Millisecond)
		for range 3 {
			fleet.killDaemon("core-2")
			fleet.wipeDisk("core-2")
			fleet.startDaemon("core-2")
			time.Sleep(150 * time.Millisecond)
		}
		fleet.awaitMembership("127.0.0.2:2")
		fleet.checkSurvivesLoss("core-0")
	})
}

// replaceFounder replaces a founding server by one of the same name at another address.
func (t *testFleet) replaceFounder(name, internalAddress, publicAddress string) {
	t.killDaemon(name)
	t.wipeDisk(name)
	number := daemonNumber(name)
	t.addServer(name, t.zones[number%3], internalAddress, publicAddress, "")
	t.serverAddresses[number] = publicAddress
	t.startDaemon(name)
	t.awaitMembership(publicAddress)
}

// awaitLeader restarts the other servers until one leads shard 0.
func (t *testFleet) awaitLeader(wanted string, others ...string) {
	for range 10 {
		if t.shardLeader(0) == wanted {
			return
		}
		for _, other := range others {
			if t.shardLeader(0) == other {
				t.killDaemon(other)
				time.Sleep(4 * time.Second)
				t.startDaemon(other)
				time.Sleep(6 * time.Second)
			}
		}
	}
	t.Fatalf("%s does not lead", wanted)
}

// A server recovers from the founding membership while the server that it names for another slot was replaced, was frozen
// meanwhile, and still takes itself for a member. No other member leads, so that only its answer and that of the third
// server come at first.
func TestRecovery_RemovedServerStillRuns(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.awaitLeader("core-0", "core-1", "core-2")
		// The replacement of core-1 has another name, so that core-1 can still run.
		fleet.Isolate("core-1", fleet.daemonNames())
		fleet.addServer("core-9", "centro", "10.0.3.9:1", "127.0.3.9:2", "core-1")
		fleet.startDaemon("core-9")
		fleet.awaitMembership("127.0.3.9:2")
		fleet.serverAddresses[1] = "127.0.3.9:2"
		fleet.evacuateZone("norte")
		before := fleet.highestCommit()
		for _, name := range []string{"core-0", "core-9", "core-2"} {
			fleet.killDaemon(name)
		}
		fleet.wipeDisk("core-2")
		fleet.Heal()
		fleet.startDaemon("core-2")
		fleet.startDaemon("core-0")
		time.Sleep(6 * time.Second)
		fleet.startDaemon("core-9")
		fleet.awaitMembership("127.0.0.2:2")
		fleet.acknowledgementTime()
		if after := fleet.highestCommit(); after < before {
			fleet.Errorf("committed up to %d before, %d after", before, after)
		}
	})
}

// The last complete copy of the log loses its disk while another server cannot catch up, and the third one has lost its
// own: what was acknowledged is then restored from the routers' copies.
func TestLastCompleteCopy_LosesDisk(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.awaitLeader("core-0", "core-1", "core-2")
		fleet.growLog()
		fleet.killDaemon("core-2")
		fleet.wipeDisk("core-2")
		held := fleet.HoldWrites([]string{"core-0", "core-1"}, []string{"core-2"}, "")
		fleet.startDaemon("core-2")
		fleet.evacuateZone("sur")
		time.Sleep(time.Second)
		for _, name := range []string{"core-1", "core-0"} {
			fleet.killDaemon(name)
			fleet.wipeDisk(name)
		}
		held.Deliver()
		fleet.startDaemon("core-0")
		fleet.startDaemon("core-1")
		time.Sleep(12 * time.Second)
		for number := range 3 {
			revision, known := fleet.readRevisionAt(fmt.Sprint("core-", number))
			fleet.Logf("core-%d: revision %d, known %v", number, revision, known)
		}
		if view := fleet.readView(); !view.IsEvacuated("sur") || view.Label != largeChangeCount {
			fleet.Errorf("label %d, evacuated zones %v", view.Label, view.Evacuated)
		}
	})
}

// readView returns the configuration that some server reads within a few seconds.
func (t *testFleet) readView() config.View {
	for range 20 {
		for _, server := range t.servers {
			if view, err := server.Read(t.Context()); err == nil {
				return view
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatal("no server reads the configuration")
	return config.View{}
}

// copyStates returns the states of the copies of shard 0 by slot, as its leader shows them.
func (t *testFleet) copyStates() map[string]int {
	states := map[string]int{}
	for _, address := range t.serverAddresses {
		if shards := t.fetchOverview(address).Shards; len(shards) > 0 {
			for _, replica := range shards[0].Copies {
				states[replica.State]++
			}
		}
	}
	return states
}

// The status of the leader shows that a copy is missing, from the loss of the disk until the server has caught up.
func TestStatus_ShowsIncompleteCopies(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		fleet.awaitLeader("core-0", "core-1", "core-2")
		check := func(when string, wanted map[string]int) {
			if states := fleet.copyStates(); !maps.Equal(states, wanted) {
				fleet.Errorf("%s: %v, want %v", when, states, wanted)
			}
		}
		check("at first", map[string]int{"complete": 3})
		fleet.growLog()
		fleet.killDaemon("core-2")
		fleet.wipeDisk("core-2")
		time.Sleep(4 * time.Second)
		check("without the server", map[string]int{"complete": 2, "silent": 1})
		held := fleet.HoldWrites([]string{"core-0", "core-1"}, []string{"core-2"}, "/core/deliver")
		fleet.startDaemon("core-2")
		time.Sleep(time.Second)
		check("while it catches up", map[string]int{"complete": 2, "catching-up": 1})
		held.Deliver()
		fleet.awaitMembership("127.0.0.2:2")
		time.Sleep(time.Second)
		check("in the end", map[string]int{"complete": 3})
	})
}
