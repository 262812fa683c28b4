package simulation_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

const (
	partitionDuration = 20 * time.Second
	// acknowledgementLimit is how long after a cut the rest must acknowledge a change.
	acknowledgementLimit = 4 * time.Second
	// staleLeaderLimit is how long a leader that is cut off may still call itself owner.
	staleLeaderLimit = time.Second
)

// readRevisionAt asks one core for what is in force, as an operator does.
func (t *testFleet) readRevisionAt(name string) (uint64, bool) {
	startedAt := time.Now()
	view, err := t.servers[name].Read(context.Background())
	if elapsed := time.Since(startedAt); elapsed > 900*time.Millisecond {
		t.Errorf("%s took %v for a read", name, elapsed)
	}
	return view.Sequence, err == nil
}

// rejectedAt asks one core for what only the state forbids, and says whether it was refused.
func (t *testFleet) rejectedAt(name string) (string, bool) {
	request := config.Request{Kind: config.OperationEvacuate, Key: rand.Text(), Whichever: true, Hall: "nowhere"}
	outcome, err := t.servers[name].Configure(context.Background(), request)
	return outcome.Text, err == nil && outcome.Code != errcode.OK
}

// changeThrough has a change acknowledged by one of some cores, and says its sequence.
func (t *testFleet) changeThrough(names []string, within time.Duration) (uint64, bool) {
	request := config.Request{Kind: config.OperationEvacuate, Key: rand.Text(), Whichever: true, Hall: t.zones[2]}
	startedAt := time.Now()
	for iteration := 0; time.Since(startedAt) < within; iteration++ {
		outcome, err := t.servers[names[iteration%len(names)]].Configure(context.Background(), request)
		if err == nil && outcome.Code == errcode.OK {
			return outcome.Sequence, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, false
}

// leaderAmong is which of some cores owns part 0.
func (t *testFleet) leaderAmong(names []string) string {
	for number, address := range t.serverAddresses {
		if !slices.Contains(names, fmt.Sprint("core-", number)) {
			continue
		}
		if overview := t.fetchOverview(address); len(overview.Shards) > 0 && overview.Shards[0].Owner {
			return overview.Name
		}
	}
	return ""
}

// reachability is what a leader that is cut off still hears of the others.
type reachability uint8

const (
	receivesNothing reachability = iota
	// receivesFromOthers: it hears them and is not heard, so it follows the next leader.
	receivesFromOthers
	// receivesAll: it is only late.
	receivesAll
)

// testPartitionedLeader cuts the leader of part 0 off for twenty seconds, and checks that it serves nothing
// as current, that the rest acknowledges soon, and that its return unseats nobody.
func testPartitionedLeader(t *testing.T, reachable reachability, cut func(*testFleet, string, []string)) {
	runScenario(t, func(fleet *testFleet) {
		leader := fleet.shardLeader(0)
		var publicAddress string
		var names []string
		for number, address := range fleet.serverAddresses {
			if name := fmt.Sprint("core-", number); name == leader {
				publicAddress = address
			} else {
				names = append(names, name)
			}
		}
		cut(fleet, leader, names)
		startedAt := time.Now()
		acknowledged := make(chan uint64, 1)
		go func() {
			revision, done := fleet.changeThrough(names, acknowledgementLimit)
			if !done {
				t.Errorf("the rest acknowledged nothing within %v", acknowledgementLimit)
			}
			t.Logf("the rest acknowledged %v after the cut", time.Since(startedAt))
			acknowledged <- revision
		}()
		acknowledgedRevision, owner := uint64(0), ""
		for time.Since(startedAt) < partitionDuration {
			select {
			case acknowledgedRevision = <-acknowledged:
				owner = fleet.leaderAmong(names)
			default:
			}
			if revision, read := fleet.readRevisionAt(leader); read && (reachable != receivesAll || revision < acknowledgedRevision) {
				t.Errorf("%v after the cut it told sequence %d, and %d was acknowledged", time.Since(startedAt), revision, acknowledgedRevision)
			}
			if text, rejected := fleet.rejectedAt(leader); rejected && reachable != receivesAll {
				t.Errorf("%v after the cut it refused by its own view: %s", time.Since(startedAt), text)
			}
			overview := fleet.fetchOverview(publicAddress)
			for _, shard := range overview.Shards[:min(1, len(overview.Shards))] {
				if (shard.Owner && reachable != receivesAll || shard.UpToDate && reachable == receivesNothing) && time.Since(startedAt) > staleLeaderLimit {
					t.Errorf("%v after the cut it says owner %v, current %v", time.Since(startedAt), shard.Owner, shard.UpToDate)
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
		fleet.Heal()
		for healedAt := time.Now(); time.Since(healedAt) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
			if revision, read := fleet.readRevisionAt(leader); read && revision < acknowledgedRevision {
				t.Errorf("%v after its return it told sequence %d, not %d", time.Since(healedAt), revision, acknowledgedRevision)
			}
			if now := fleet.leaderAmong(names); now != owner {
				t.Errorf("%v after the return the owner is %q, not %q", time.Since(healedAt), now, owner)
			}
		}
	})
}

func TestLeader_PartitionedFromFollowers(t *testing.T) {
	testPartitionedLeader(t, receivesNothing, func(fleet *testFleet, leader string, others []string) { fleet.Isolate(leader, others) })
}

func TestLeader_InboundLinksPartitioned(t *testing.T) {
	testPartitionedLeader(t, receivesNothing, func(fleet *testFleet, leader string, others []string) {
		for _, other := range others {
			fleet.Partition(other, leader)
		}
	})
}

func TestLeader_OutboundLinksPartitioned(t *testing.T) {
	testPartitionedLeader(t, receivesFromOthers, func(fleet *testFleet, leader string, others []string) {
		for _, other := range others {
			fleet.Partition(leader, other)
		}
	})
}

func TestLeader_FrozenForTwentySeconds(t *testing.T) {
	testPartitionedLeader(t, receivesAll, func(fleet *testFleet, leader string, _ []string) {
		fleet.Freeze(leader, clock.FromDuration(partitionDuration))
	})
}

func TestLeader_ClockJumpsTwentySeconds(t *testing.T) {
	testPartitionedLeader(t, receivesAll, func(fleet *testFleet, leader string, _ []string) {
		fleet.Suspend(leader, clock.FromDuration(partitionDuration))
	})
}

// A follower that hears nobody, but is heard, does not unseat the leader, and neither does its return.
func TestFollower_InboundLinksPartitioned(t *testing.T) {
	runScenario(t, func(fleet *testFleet) {
		leader, isolated := fleet.shardLeader(0), ""
		for number := range fleet.serverAddresses {
			if name := fmt.Sprint("core-", number); name != leader {
				isolated = name
			}
		}
		for number := range fleet.serverAddresses {
			if name := fmt.Sprint("core-", number); name != isolated {
				fleet.Partition(name, isolated)
			}
		}
		checkLeader := func(duration time.Duration, when string) {
			for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(100 * time.Millisecond) {
				if owner := fleet.shardLeader(0); owner != leader {
					t.Fatalf("%s, after %v, the owner is %q, not %q", when, time.Since(startedAt), owner, leader)
				}
			}
		}
		checkLeader(partitionDuration, "while it is deaf")
		fleet.Heal()
		checkLeader(5*time.Second, "after its return")
	})
}
