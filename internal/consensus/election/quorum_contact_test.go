package election_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

func quorumConfig(slots int) election.Config {
	return election.Config{Slots: slots, Quorum: slots/2 + 1, Delta: delta}
}

// clusterWithLeader returns a cluster that has elected its first leader, and that leader.
func clusterWithLeader(t *testing.T, seed uint64, slots int) (*simulatedCluster, int) {
	t.Helper()
	cluster := newSimulatedClusterFrom(seed, quorumConfig(slots), map[int]bool{})
	cluster.Run(10 * delta)
	leader, agreed := cluster.agreedLeader()
	if !agreed {
		t.Fatal("the cluster elected no first leader")
	}
	return cluster, leader
}

func (s *simulatedCluster) term(slot int) uint64 {
	_, term := s.electors[slot].Leader()
	return term
}

// agreedWithout reports whether all slots except the given one agree on a leader, and the leader is
// not the given slot.
func (s *simulatedCluster) agreedWithout(slot int) bool {
	s.crashed[slot] = true
	leader, agreed := s.agreedLeader()
	delete(s.crashed, slot)
	return agreed && leader != slot
}

// Theorem 5 with a quorum: 9δ after the crash of any minority there is a leader. If a majority has
// crashed, no slot outputs a leader, and no slot changes its term.
func TestElection_QuorumElectsWithinNineDelta(t *testing.T) {
	for slots := 3; slots <= 7; slots += 2 {
		crashSets(slots, func(seed uint64, crashed map[int]bool) {
			cluster, firstLeader := clusterWithLeader(t, seed, slots)
			firstTerm := cluster.term(firstLeader)
			cluster.crash(crashed)
			cluster.Run(9*delta + 2*delta/10)
			if len(crashed) > slots/2 {
				requireNoLeader(t, cluster, firstTerm)
				return
			}
			if leader, agreed := cluster.agreedLeader(); !agreed || crashed[leader] {
				t.Fatalf("%d slots, %v crashed: no live leader after 9δ", slots, crashed)
			}
		})
	}
}

// requireNoLeader checks that each live slot is in the expected term and outputs no leader.
func requireNoLeader(t *testing.T, cluster *simulatedCluster, expectedTerm uint64) {
	t.Helper()
	for slot, elector := range cluster.electors {
		leader, term := elector.Leader()
		if !cluster.crashed[slot] && (leader != election.NoLeader || term != expectedTerm) {
			t.Fatalf("%d slots, %v crashed: slot %d outputs leader %d in term %d", len(cluster.electors), cluster.crashed, slot, leader, term)
		}
	}
}

// 9δ after the network heals there is a leader, also if no slot had contact with a majority before.
func TestElection_ElectsWithinNineDeltaAfterPartitionHeals(t *testing.T) {
	for slots := 3; slots <= 5; slots += 2 {
		for seed := range uint64(60) {
			cluster, _ := clusterWithLeader(t, seed, slots)
			for slot := range slots {
				cluster.Isolate(slot, slots)
			}
			cluster.Run(100*delta + cluster.RandomBetween(0, 4*delta))
			cluster.Heal()
			cluster.Run(9*delta + 2*delta/10)
			if _, agreed := cluster.agreedLeader(); !agreed {
				t.Fatalf("%d slots, seed %d: no leader 9δ after the network healed", slots, seed)
			}
		}
	}
}

func TestLeader_StepsDownWithoutAnswers(t *testing.T) {
	Convey("a leader whose messages arrive but that receives none is replaced, and its return changes nothing", t, func() {
		for seed := range uint64(40) {
			cluster, leader := clusterWithLeader(t, seed, 3)
			for other := range 3 {
				if other != leader {
					cluster.Partition(other, leader)
				}
			}
			partitionedAt := cluster.Now()
			cluster.Run(14 * delta)
			So(cluster.agreedWithout(leader), ShouldBeTrue)
			oldLeaderOutput, _ := cluster.electors[leader].Leader()
			So(oldLeaderOutput, ShouldEqual, election.NoLeader)
			cluster.Run(partitionedAt + 100*delta - cluster.Now())
			newLeader, term := cluster.electors[(leader+1)%3].Leader()
			cluster.Heal()
			for range 200 {
				cluster.Run(delta / 10)
				currentLeader, currentTerm := cluster.electors[newLeader].Leader()
				if currentLeader != newLeader || currentTerm != term {
					t.Fatalf("seed %d: leader %d of term %d was replaced by leader %d of term %d", seed, newLeader, term, currentLeader, currentTerm)
				}
			}
			commonLeader, agreed := cluster.agreedLeader()
			So(agreed, ShouldBeTrue)
			So(commonLeader, ShouldEqual, newLeader)
		}
	})
}

func TestLeader_PartitionedLeaderStepsDown(t *testing.T) {
	Convey("a leader partitioned both ways steps down within 6δ, and its return deposes nobody", t, func() {
		for seed := range uint64(40) {
			cluster, leader := clusterWithLeader(t, seed, 3)
			firstTerm := cluster.term(leader)
			cluster.Isolate(leader, 3)
			partitionedAt := cluster.Now()
			for cluster.Now() < partitionedAt+100*delta {
				cluster.Run(delta / 10)
				until := cluster.electors[leader].ConfirmedUntil(cluster.Now())
				if until > partitionedAt+4*delta {
					t.Fatalf("seed %d: the partitioned leader is confirmed until %d µs after the partition", seed, until-partitionedAt)
				}
				if cluster.Now() > partitionedAt+6*delta+delta/10 {
					oldLeaderOutput, term := cluster.electors[leader].Leader()
					if oldLeaderOutput != election.NoLeader || term != firstTerm {
						t.Fatalf("seed %d: the partitioned slot outputs leader %d in term %d", seed, oldLeaderOutput, term)
					}
				}
			}
			newLeader, term := cluster.electors[(leader+1)%3].Leader()
			cluster.Heal()
			cluster.Run(20 * delta)
			commonLeader, agreed := cluster.agreedLeader()
			So(agreed, ShouldBeTrue)
			So(commonLeader, ShouldEqual, newLeader)
			So(cluster.term(leader), ShouldEqual, term)
		}
	})
}

// partitionDirection determines which messages of a partitioned slot are lost.
type partitionDirection string

const (
	partitionBothWays partitionDirection = "both ways"
	partitionIncoming partitionDirection = "incoming"
	partitionOutgoing partitionDirection = "outgoing"
)

func (s *simulatedCluster) partitionSlot(isolated int, direction partitionDirection) {
	for other := range s.electors {
		if other == isolated {
			continue
		}
		if direction != partitionOutgoing {
			s.Partition(other, isolated)
		}
		if direction != partitionIncoming {
			s.Partition(isolated, other)
		}
	}
}

// requireStableLeader runs the cluster and checks after each step that a slot is still leader in
// its term.
func (s *simulatedCluster) requireStableLeader(t *testing.T, leader int, term uint64, duration clock.Microseconds) {
	t.Helper()
	for end := s.Now() + duration; s.Now() < end; {
		s.Run(delta / 10)
		currentLeader, currentTerm := s.electors[leader].Leader()
		if currentLeader != leader || currentTerm != term {
			t.Fatalf("leader %d of term %d was replaced by leader %d of term %d", leader, term, currentLeader, currentTerm)
		}
	}
}

// A follower that was partitioned, for however long and in whichever direction, does not depose the
// leader that the other slots have kept.
func TestFollower_RejoinsWithoutDisruption(t *testing.T) {
	for _, direction := range []partitionDirection{partitionBothWays, partitionIncoming, partitionOutgoing} {
		t.Run(string(direction), func(t *testing.T) {
			for seed := range uint64(60) {
				cluster, leader := clusterWithLeader(t, seed, 3)
				term := cluster.term(leader)
				cluster.partitionSlot((leader+1)%3, direction)
				cluster.requireStableLeader(t, leader, term, 100*delta+cluster.RandomBetween(0, 4*delta))
				cluster.Heal()
				cluster.requireStableLeader(t, leader, term, 20*delta)
				if commonLeader, agreed := cluster.agreedLeader(); !agreed || commonLeader != leader {
					t.Fatalf("seed %d: the slots do not agree on the leader after the partition", seed)
				}
			}
		})
	}
}

// A leader that no follower has answered for a while resumes its term once a follower that is still
// in that term answers.
func TestLeader_ResumesItsTermAfterContactReturns(t *testing.T) {
	elector, _ := election.Start(quorumConfig(3), election.StartOptions{})
	now := clock.Microseconds(0)
	for ; now < 7*delta; now += delta / 4 {
		elector.Tick(now)
	}
	if leader, _ := elector.Leader(); leader != election.NoLeader {
		t.Fatal("the slot leads without answers of a quorum")
	}
	elector.Receive(now, 1, election.Message{Kind: election.PONG, Term: 0})
	for end := now + 2*delta; now <= end; now += delta / 4 {
		elector.Tick(now)
	}
	if leader, term := elector.Leader(); leader != 0 || term != 0 {
		t.Fatalf("leader %d of term %d, want leader 0 of term 0", leader, term)
	}
}

// Guards against a NextTick that stays in the past: the caller would then call Tick in an endless
// loop.
func TestElector_NextTickIsInTheFuture(t *testing.T) {
	for self := range 3 {
		config := quorumConfig(3)
		config.Self = self
		elector, _ := election.Start(config, election.StartOptions{})
		ticks := 0
		for now := clock.Microseconds(0); now < 100*delta; ticks++ {
			elector.Tick(now)
			now = max(elector.NextTick(), now)
			if ticks > 1000 {
				t.Fatalf("slot %d, which receives no messages, was ticked %d times within %dδ", self, ticks, now/delta)
			}
		}
	}
}

// A slot in an earlier term learns the current term from each slot to which it sends a PING, also
// from a slot that is not a candidate and therefore sends no PONG.
func TestElector_AnswersOldPingWithCurrentTerm(t *testing.T) {
	elector, _ := election.Start(quorumConfig(3), election.StartOptions{FirstTerm: 3})
	for _, stalled := range []bool{false, true} {
		elector.SetDiskStalled(stalled)
		outgoing := elector.Receive(1, 1, election.Message{Kind: election.PING, Term: 2})
		expected := election.OutgoingMessage{To: 1, Message: election.Message{Kind: election.START, Term: 3}}
		if len(outgoing) == 0 || outgoing[0] != expected {
			t.Fatalf("disk stalled %v: in term 3, a PING of term 2 was answered with %v", stalled, outgoing)
		}
	}
}
