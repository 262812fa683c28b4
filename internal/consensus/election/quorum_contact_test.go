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

// clusterWithLeader returns a cluster that has elected its first leader.
func clusterWithLeader(t *testing.T, seed uint64, slots int) (*simulatedCluster, int) {
	t.Helper()
	cluster := newSimulatedClusterFrom(seed, quorumConfig(slots), map[int]bool{})
	cluster.Run(10 * delta)
	leader, agreed := cluster.leader()
	if !agreed {
		t.Fatal("no leader is elected at the start")
	}
	return cluster, leader
}

func (s *simulatedCluster) term(slot int) uint64 {
	_, term := s.electors[slot].Leader()
	return term
}

// agreedWithout reports whether all slots but one agree on a leader, which is not that slot.
func (s *simulatedCluster) agreedWithout(slot int) bool {
	s.crashed[slot] = true
	leader, agreed := s.leader()
	delete(s.crashed, slot)
	return agreed && leader != slot
}

// Theorem 5 with a quorum: there is a leader 9δ after the crash of any minority. Without a
// majority nobody leads, and the term stays.
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
			if leader, agreed := cluster.leader(); !agreed || crashed[leader] {
				t.Fatalf("%d slots, %v crashed: no leader after 9δ", slots, crashed)
			}
		})
	}
}

// requireNoLeader checks that each live slot is in a term and has no leader.
func requireNoLeader(t *testing.T, cluster *simulatedCluster, expectedTerm uint64) {
	t.Helper()
	for slot, elector := range cluster.electors {
		leader, term := elector.Leader()
		if !cluster.crashed[slot] && (leader != election.NoLeader || term != expectedTerm) {
			t.Fatalf("%d slots, %v crashed: slot %d has leader %d of term %d", len(cluster.electors), cluster.crashed, slot, leader, term)
		}
	}
}

// There is a leader 9δ after the network heals, also if no slot had contact with a majority.
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
			if _, agreed := cluster.leader(); !agreed {
				t.Fatalf("%d slots, seed %d: no leader 9δ after the heal", slots, seed)
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
					t.Fatalf("seed %d: leader %d of term %d became %d of %d", seed, newLeader, term, currentLeader, currentTerm)
				}
			}
			commonLeader, agreed := cluster.leader()
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
					t.Fatalf("seed %d: confirmed until %dµs after the partition", seed, until-partitionedAt)
				}
				if cluster.Now() > partitionedAt+6*delta+delta/10 {
					oldLeaderOutput, term := cluster.electors[leader].Leader()
					if oldLeaderOutput != election.NoLeader || term != firstTerm {
						t.Fatalf("seed %d: leader %d of term %d while partitioned", seed, oldLeaderOutput, term)
					}
				}
			}
			newLeader, term := cluster.electors[(leader+1)%3].Leader()
			cluster.Heal()
			cluster.Run(20 * delta)
			commonLeader, agreed := cluster.leader()
			So(agreed, ShouldBeTrue)
			So(commonLeader, ShouldEqual, newLeader)
			So(cluster.term(leader), ShouldEqual, term)
		}
	})
}

// partitionDirection says which messages of a partitioned slot are lost.
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

// requireStableLeader runs the cluster and checks all the time that a slot stays leader in its term.
func (s *simulatedCluster) requireStableLeader(t *testing.T, leader int, term uint64, duration clock.Microseconds) {
	t.Helper()
	for end := s.Now() + duration; s.Now() < end; {
		s.Run(delta / 10)
		currentLeader, currentTerm := s.electors[leader].Leader()
		if currentLeader != leader || currentTerm != term {
			t.Fatalf("leader %d of term %d became %d of %d", leader, term, currentLeader, currentTerm)
		}
	}
}

// A follower that was partitioned, for however long and in whichever direction, does not
// depose a leader that the others have kept.
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
				if commonLeader, agreed := cluster.leader(); !agreed || commonLeader != leader {
					t.Fatalf("seed %d: no common leader after the return", seed)
				}
			}
		})
	}
}

// A leader that no follower answered for a while resumes its term if they are still in it.
func TestLeader_ResumesItsTermAfterContactReturns(t *testing.T) {
	elector, _ := election.Start(quorumConfig(3), election.StartOptions{})
	now := clock.Microseconds(0)
	for ; now < 7*delta; now += delta / 4 {
		elector.Tick(now)
	}
	if leader, _ := elector.Leader(); leader != election.NoLeader {
		t.Fatal("it leads without a quorum")
	}
	elector.Receive(now, 1, election.Message{Kind: election.PONG, Term: 0})
	for end := now + 2*delta; now <= end; now += delta / 4 {
		elector.Tick(now)
	}
	if leader, term := elector.Leader(); leader != 0 || term != 0 {
		t.Fatalf("leader %d of term %d", leader, term)
	}
}

// An elector whose NextTick lay in the past would be ticked without end.
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
				t.Fatalf("slot %d, alone, was ticked %d times by %dδ", self, ticks, now/delta)
			}
		}
	}
}

// A slot in an earlier term learns the current one from each slot that it pings, also from one
// that is no candidate and so sends no PONG.
func TestElector_AnswersOldPingWithCurrentTerm(t *testing.T) {
	elector, _ := election.Start(quorumConfig(3), election.StartOptions{FirstTerm: 3})
	for _, stalled := range []bool{false, true} {
		elector.SetDiskStalled(stalled)
		outgoing := elector.Receive(1, 1, election.Message{Kind: election.PING, Term: 2})
		expected := election.OutgoingMessage{To: 1, Message: election.Message{Kind: election.START, Term: 3}}
		if len(outgoing) == 0 || outgoing[0] != expected {
			t.Fatalf("stalled %v: a PING of term 2 in term 3 was answered with %v", stalled, outgoing)
		}
	}
}
