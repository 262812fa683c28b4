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

// clusterWithLeader is an electorate that has a leader.
func clusterWithLeader(t *testing.T, seed uint64, slots int) (*simulatedCluster, int) {
	cluster := newSimulatedClusterFrom(seed, quorumConfig(slots), map[int]bool{})
	cluster.Run(10 * delta)
	leader, agreed := cluster.leader()
	if !agreed {
		t.Fatal("no first leader")
	}
	return cluster, leader
}

func (s *simulatedCluster) term(slot int) uint64 {
	_, term := s.electors[slot].Leader()
	return term
}

// agreedWithout tells whether all but one slot have one leader, which is not that slot.
func (s *simulatedCluster) agreedWithout(slot int) bool {
	s.crashed[slot] = true
	leader, agreed := s.leader()
	delete(s.crashed, slot)
	return agreed && leader != slot
}

// Theorem 5 with the quorum: 9δ after the crash of any minority. Without a majority nobody
// leads, and no round is counted up.
func TestElection_QuorumElectsWithinNineDelta(t *testing.T) {
	for slots := 3; slots <= 7; slots += 2 {
		for crashMask := range 1 << slots {
			crashed := map[int]bool{}
			for slot := range slots {
				if crashMask>>slot&1 == 1 {
					crashed[slot] = true
				}
			}
			if len(crashed) == slots {
				continue
			}
			cluster, firstLeader := clusterWithLeader(t, uint64(crashMask), slots)
			firstTerm := cluster.term(firstLeader)
			for slot := range crashed {
				cluster.crashed[slot] = true
			}
			cluster.Run(9*delta + 2*delta/10)
			leader, agreed := cluster.leader()
			if len(crashed) <= slots/2 {
				if !agreed || crashed[leader] {
					t.Fatalf("%d slots, %v dead: no leader after 9δ", slots, crashed)
				}
				continue
			}
			for slot, elector := range cluster.electors {
				output, term := elector.Leader()
				if !crashed[slot] && (output != election.NoLeader || term != firstTerm) {
					t.Fatalf("%d slots, %v dead: slot %d says leader %d of round %d", slots, crashed, slot, output, term)
				}
			}
		}
	}
}

// 9δ after the network heals, with nobody in contact with a majority before.
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
	Convey("a leader that is heard but hears nobody is replaced, and its return changes nothing", t, func() {
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
					t.Fatalf("seed %d: leader %d of round %d became %d of %d", seed, newLeader, term, currentLeader, currentTerm)
				}
			}
			commonLeader, agreed := cluster.leader()
			So(agreed, ShouldBeTrue)
			So(commonLeader, ShouldEqual, newLeader)
		}
	})
}

func TestLeader_PartitionedLeaderStepsDown(t *testing.T) {
	Convey("cut off both ways, it stops within 6δ, stays so, and its return unseats nobody", t, func() {
		for seed := range uint64(40) {
			cluster, leader := clusterWithLeader(t, seed, 3)
			firstTerm := cluster.term(leader)
			cluster.Isolate(leader, 3)
			partitionedAt := cluster.Now()
			for cluster.Now() < partitionedAt+100*delta {
				cluster.Run(delta / 10)
				until := cluster.electors[leader].ConfirmedUntil(cluster.Now())
				if until > partitionedAt+4*delta {
					t.Fatalf("seed %d: confirmed until %dµs after the cut", seed, until-partitionedAt)
				}
				if cluster.Now() > partitionedAt+6*delta+delta/10 {
					oldLeaderOutput, term := cluster.electors[leader].Leader()
					if oldLeaderOutput != election.NoLeader || term != firstTerm {
						t.Fatalf("seed %d: leader %d of round %d while cut off", seed, oldLeaderOutput, term)
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

// Item 9: whoever was cut off, for however long and in whichever way, does not unseat a
// leader that the others have kept.
func TestFollower_RejoinsWithoutDisruption(t *testing.T) {
	for _, direction := range []string{"both", "deaf", "mute"} {
		for seed := range uint64(60) {
			cluster, leader := clusterWithLeader(t, seed, 3)
			term, isolated := cluster.term(leader), (leader+1)%3
			for other := range 3 {
				if other != isolated && direction != "mute" {
					cluster.Partition(other, isolated)
				}
				if other != isolated && direction != "deaf" {
					cluster.Partition(isolated, other)
				}
			}
			requireStable := func(duration clock.Microseconds) {
				for end := cluster.Now() + duration; cluster.Now() < end; {
					cluster.Run(delta / 10)
					if currentLeader, currentTerm := cluster.electors[leader].Leader(); currentLeader != leader || currentTerm != term {
						t.Fatalf("%s, seed %d: the leader %d of round %d became %d of %d", direction, seed, leader, term, currentLeader, currentTerm)
					}
				}
			}
			requireStable(100*delta + cluster.RandomBetween(0, 4*delta))
			cluster.Heal()
			requireStable(20 * delta)
			if commonLeader, agreed := cluster.leader(); !agreed || commonLeader != leader {
				t.Fatalf("%s, seed %d: no common leader after the return", direction, seed)
			}
		}
	}
}

// A leader whose followers were all silent for a while, and have not moved on, goes on in
// its own round.
func TestLeader_ResumesItsTermAfterContactReturns(t *testing.T) {
	elector, _ := election.Start(quorumConfig(3), 0, 0, false)
	now := clock.Microseconds(0)
	for ; now < 7*delta; now += delta / 4 {
		elector.Tick(now)
	}
	if leader, _ := elector.Leader(); leader != election.NoLeader {
		t.Fatal("it leads alone")
	}
	elector.Receive(now, 1, election.Message{Kind: election.PONG, Round: 0})
	for end := now + 2*delta; now <= end; now += delta / 4 {
		elector.Tick(now)
	}
	if leader, term := elector.Leader(); leader != 0 || term != 0 {
		t.Fatalf("leader %d of round %d", leader, term)
	}
}

// A machine whose next wake-up lies in the past would be woken without end.
func TestElector_NextTickIsInTheFuture(t *testing.T) {
	for self := range 3 {
		config := quorumConfig(3)
		config.Self = self
		elector, _ := election.Start(config, 0, 0, false)
		ticks := 0
		for now := clock.Microseconds(0); now < 100*delta; ticks++ {
			elector.Tick(now)
			now = max(elector.NextTick(), now)
			if ticks > 1000 {
				t.Fatalf("slot %d, alone, was woken %d times by %dδ", self, ticks, now/delta)
			}
		}
	}
}

// A slot that was away hears of the later round from whoever it asks, even from one that may
// not answer as a candidate.
func TestElector_AnswersOldPingWithCurrentTerm(t *testing.T) {
	elector, _ := election.Start(quorumConfig(3), 0, 3, false)
	for _, stalled := range []bool{false, true} {
		elector.SetDiskStalled(stalled)
		outgoing := elector.Receive(1, 1, election.Message{Kind: election.PING, Round: 2})
		if len(outgoing) == 0 || outgoing[0] != (election.OutgoingMessage{To: 1, Message: election.Message{Kind: election.START, Round: 3}}) {
			t.Fatalf("held %v: a PING of round 2 in round 3 was answered with %v", stalled, outgoing)
		}
	}
}
