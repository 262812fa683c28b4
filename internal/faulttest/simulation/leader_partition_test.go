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
	// acknowledgementLimit is how soon after a partition the others must acknowledge a change.
	acknowledgementLimit = 4 * time.Second
	// staleLeaderLimit is how long a partitioned leader may still report to lead.
	staleLeaderLimit = time.Second
)

// readRevisionAt reads the latest revision at one server, as an operator does.
func (t *testFleet) readRevisionAt(name string) (uint64, bool) {
	startedAt := time.Now()
	view, err := t.servers[name].Read(context.Background())
	if elapsed := time.Since(startedAt); elapsed > 900*time.Millisecond {
		t.Errorf("%s took %v for a read", name, elapsed)
	}
	return view.Revision, err == nil
}

// rejectedAt sends one server a change that its state forbids, and reports whether it was rejected for that.
func (t *testFleet) rejectedAt(name string) (string, bool) {
	request := config.Request{Kind: config.OperationEvacuate, Key: rand.Text(), AnyRevision: true, Zone: "nowhere"}
	outcome, err := t.servers[name].Configure(context.Background(), request)
	return outcome.Text, err == nil && outcome.Code != errcode.OK
}

// changeThrough has a change acknowledged by one of some servers, and returns its revision.
func (t *testFleet) changeThrough(names []string, within time.Duration) (uint64, bool) {
	request := config.Request{Kind: config.OperationEvacuate, Key: rand.Text(), AnyRevision: true, Zone: t.zones[2]}
	startedAt := time.Now()
	for iteration := 0; time.Since(startedAt) < within; iteration++ {
		outcome, err := t.servers[names[iteration%len(names)]].Configure(context.Background(), request)
		if err == nil && outcome.Code == errcode.OK {
			return outcome.Revision, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, false
}

// leaderAmong returns which of some servers leads shard 0.
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

// reachability is what a partitioned leader still receives from the others.
type reachability uint8

const (
	receivesNothing reachability = iota
	// receivesFromOthers: it receives and cannot send, so it follows the next leader.
	receivesFromOthers
	// receivesAll: it is only late.
	receivesAll
)

// testPartitionedLeader partitions the leader of shard 0 for twenty seconds, and checks that it serves
// nothing outdated, that the others acknowledge changes soon, and that its return changes no leader.
func testPartitionedLeader(t *testing.T, reachable reachability, partition func(*testFleet, string, []string)) {
	t.Helper()
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
		partition(fleet, leader, names)
		startedAt := time.Now()
		acknowledged := make(chan uint64, 1)
		go func() {
			revision, done := fleet.changeThrough(names, acknowledgementLimit)
			if !done {
				t.Errorf("the others acknowledged nothing within %v", acknowledgementLimit)
			}
			t.Logf("the others acknowledged %v after the partition", time.Since(startedAt))
			acknowledged <- revision
		}()
		check := &partitionCheck{
			testFleet:     fleet,
			reachable:     reachable,
			leader:        leader,
			publicAddress: publicAddress,
			startedAt:     startedAt,
		}
		newLeader := ""
		for time.Since(startedAt) < partitionDuration {
			select {
			case check.acknowledgedRevision = <-acknowledged:
				newLeader = fleet.leaderAmong(names)
			default:
			}
			check.checkAnswers()
			check.checkStatus()
			time.Sleep(250 * time.Millisecond)
		}
		fleet.Heal()
		check.checkReturn(names, newLeader)
	})
}

// partitionCheck checks what a partitioned leader answers.
type partitionCheck struct {
	*testFleet
	reachable             reachability
	leader, publicAddress string
	startedAt             time.Time
	// acknowledgedRevision is the latest revision that the other servers acknowledged, 0 before that.
	acknowledgedRevision uint64
}

// checkAnswers checks that the leader answers no reads, or no outdated ones if it is only late, and does
// not reject changes by its outdated state.
func (p *partitionCheck) checkAnswers() {
	revision, read := p.readRevisionAt(p.leader)
	if read && (p.reachable != receivesAll || revision < p.acknowledgedRevision) {
		p.Errorf("%v after the partition it answered revision %d, and %d was acknowledged",
			time.Since(p.startedAt), revision, p.acknowledgedRevision)
	}
	if text, rejected := p.rejectedAt(p.leader); rejected && p.reachable != receivesAll {
		p.Errorf("%v after the partition it rejected by its own state: %s", time.Since(p.startedAt), text)
	}
}

// checkStatus checks that the leader does not report to lead, or to be current, after staleLeaderLimit.
func (p *partitionCheck) checkStatus() {
	status := p.fetchOverview(p.publicAddress)
	if len(status.Shards) == 0 {
		return
	}
	shard := status.Shards[0]
	isStaleLeader := shard.Owner && p.reachable != receivesAll
	isStale := shard.UpToDate && p.reachable == receivesNothing
	if (isStaleLeader || isStale) && time.Since(p.startedAt) > staleLeaderLimit {
		p.Errorf("%v after the partition it reports leader %v, current %v",
			time.Since(p.startedAt), shard.Owner, shard.UpToDate)
	}
}

// checkReturn checks that after the partition the old leader answers no outdated reads, and that the new
// one goes on leading.
func (p *partitionCheck) checkReturn(names []string, newLeader string) {
	for healedAt := time.Now(); time.Since(healedAt) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		if revision, read := p.readRevisionAt(p.leader); read && revision < p.acknowledgedRevision {
			p.Errorf("%v after its return it answered revision %d, not %d",
				time.Since(healedAt), revision, p.acknowledgedRevision)
		}
		if now := p.leaderAmong(names); now != newLeader {
			p.Errorf("%v after the return the leader is %q, not %q", time.Since(healedAt), now, newLeader)
		}
	}
}

func TestLeader_PartitionedFromFollowers(t *testing.T) {
	testPartitionedLeader(t, receivesNothing, func(fleet *testFleet, leader string, others []string) {
		fleet.Isolate(leader, others)
	})
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

// TestFollower_InboundLinksPartitioned checks that a follower that receives nothing, but is heard, does not
// depose the leader, and neither does its return.
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
				if currentLeader := fleet.shardLeader(0); currentLeader != leader {
					t.Fatalf("%s, after %v, the leader is %q, not %q", when, time.Since(startedAt), currentLeader, leader)
				}
			}
		}
		checkLeader(partitionDuration, "while it receives nothing")
		fleet.Heal()
		checkLeader(5*time.Second, "after its return")
	})
}
