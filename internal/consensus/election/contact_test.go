package election_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
)

func quorumOf(slots int) election.Place {
	return election.Place{Slots: slots, Quorum: slots/2 + 1, Delta: delta}
}

// settled is an electorate that has a leader.
func settled(test *testing.T, seed uint64, slots int) (*electorate, int) {
	found := newElectorateOf(seed, quorumOf(slots), map[int]bool{})
	found.Run(10 * delta)
	leader, agreed := found.leader()
	if !agreed {
		test.Fatal("no first leader")
	}
	return found, leader
}

func (s *electorate) round(slot int) uint64 {
	_, round := s.machines[slot].Leader()
	return round
}

// agreedWithout tells whether all but one slot have one leader, which is not that slot.
func (s *electorate) agreedWithout(slot int) bool {
	s.dead[slot] = true
	leader, agreed := s.leader()
	delete(s.dead, slot)
	return agreed && leader != slot
}

// Theorem 5 with the quorum: 9δ after the crash of any minority. Without a majority nobody
// leads, and no round is counted up.
func TestElectsWithinNineDeltaWhileAQuorumLives(test *testing.T) {
	for slots := 3; slots <= 7; slots += 2 {
		for dead := range 1 << slots {
			gone := map[int]bool{}
			for slot := range slots {
				if dead>>slot&1 == 1 {
					gone[slot] = true
				}
			}
			if len(gone) == slots {
				continue
			}
			found, before := settled(test, uint64(dead), slots)
			first := found.round(before)
			for slot := range gone {
				found.dead[slot] = true
			}
			found.Run(9*delta + 2*delta/10)
			leader, agreed := found.leader()
			if len(gone) <= slots/2 {
				if !agreed || gone[leader] {
					test.Fatalf("%d slots, %v dead: no leader after 9δ", slots, gone)
				}
				continue
			}
			for slot, machine := range found.machines {
				output, round := machine.Leader()
				if !gone[slot] && (output != election.Nobody || round != first) {
					test.Fatalf("%d slots, %v dead: slot %d says leader %d of round %d", slots, gone, slot, output, round)
				}
			}
		}
	}
}

// 9δ after the network heals, with nobody in contact with a majority before.
func TestElectsWithinNineDeltaAfterAllWereAlone(test *testing.T) {
	for slots := 3; slots <= 5; slots += 2 {
		for seed := range uint64(60) {
			found, _ := settled(test, seed, slots)
			for slot := range slots {
				found.Isolate(slot, slots)
			}
			found.Run(100*delta + found.Between(0, 4*delta))
			found.Heal()
			found.Run(9*delta + 2*delta/10)
			if _, agreed := found.leader(); !agreed {
				test.Fatalf("%d slots, seed %d: no leader 9δ after the heal", slots, seed)
			}
		}
	}
}

func TestALeaderThatNobodyAnswersGivesWay(test *testing.T) {
	Convey("a leader that is heard but hears nobody is replaced, and its return changes nothing", test, func() {
		for seed := range uint64(40) {
			found, leader := settled(test, seed, 3)
			for other := range 3 {
				if other != leader {
					found.Cut(other, leader)
				}
			}
			cut := found.Now()
			found.Run(14 * delta)
			So(found.agreedWithout(leader), ShouldBeTrue)
			own, _ := found.machines[leader].Leader()
			So(own, ShouldEqual, election.Nobody)
			found.Run(cut + 100*delta - found.Now())
			next, round := found.machines[(leader+1)%3].Leader()
			found.Heal()
			for range 200 {
				found.Run(delta / 10)
				kept, at := found.machines[next].Leader()
				if kept != next || at != round {
					test.Fatalf("seed %d: leader %d of round %d became %d of %d", seed, next, round, kept, at)
				}
			}
			all, agreed := found.leader()
			So(agreed, ShouldBeTrue)
			So(all, ShouldEqual, next)
		}
	})
}

func TestALeaderThatIsCutOffSaysSoAndDoesNotElectItselfAgain(test *testing.T) {
	Convey("cut off both ways, it stops within 6δ, stays so, and its return unseats nobody", test, func() {
		for seed := range uint64(40) {
			found, leader := settled(test, seed, 3)
			first := found.round(leader)
			found.Isolate(leader, 3)
			cut := found.Now()
			for found.Now() < cut+100*delta {
				found.Run(delta / 10)
				until := found.machines[leader].ConfirmedUntil(found.Now())
				if until > cut+4*delta {
					test.Fatalf("seed %d: confirmed until %dµs after the cut", seed, until-cut)
				}
				if found.Now() > cut+6*delta+delta/10 {
					own, round := found.machines[leader].Leader()
					if own != election.Nobody || round != first {
						test.Fatalf("seed %d: leader %d of round %d while cut off", seed, own, round)
					}
				}
			}
			next, round := found.machines[(leader+1)%3].Leader()
			found.Heal()
			found.Run(20 * delta)
			all, agreed := found.leader()
			So(agreed, ShouldBeTrue)
			So(all, ShouldEqual, next)
			So(found.round(leader), ShouldEqual, round)
		}
	})
}

// Item 9: whoever was cut off, for however long and in whichever way, does not unseat a
// leader that the others have kept.
func TestAFollowerThatWasAloneDisturbsNobody(test *testing.T) {
	for _, way := range []string{"both", "deaf", "mute"} {
		for seed := range uint64(60) {
			found, leader := settled(test, seed, 3)
			round, alone := found.round(leader), (leader+1)%3
			for other := range 3 {
				if other != alone && way != "mute" {
					found.Cut(other, alone)
				}
				if other != alone && way != "deaf" {
					found.Cut(alone, other)
				}
			}
			watch := func(span schedule.Microseconds) {
				for end := found.Now() + span; found.Now() < end; {
					found.Run(delta / 10)
					if kept, at := found.machines[leader].Leader(); kept != leader || at != round {
						test.Fatalf("%s, seed %d: the leader %d of round %d became %d of %d", way, seed, leader, round, kept, at)
					}
				}
			}
			watch(100*delta + found.Between(0, 4*delta))
			found.Heal()
			watch(20 * delta)
			if all, agreed := found.leader(); !agreed || all != leader {
				test.Fatalf("%s, seed %d: no common leader after the return", way, seed)
			}
		}
	}
}

// A leader whose followers were all silent for a while, and have not moved on, goes on in
// its own round.
func TestALeaderGoesOnInItsRoundIfNobodyMovedOn(test *testing.T) {
	machine, _ := election.Start(quorumOf(3), 0, 0, false)
	now := schedule.Microseconds(0)
	for ; now < 7*delta; now += delta / 4 {
		machine.Wake(now)
	}
	if leader, _ := machine.Leader(); leader != election.Nobody {
		test.Fatal("it leads alone")
	}
	machine.Receive(now, 1, election.Message{Kind: election.PONG, Round: 0})
	for end := now + 2*delta; now <= end; now += delta / 4 {
		machine.Wake(now)
	}
	if leader, round := machine.Leader(); leader != 0 || round != 0 {
		test.Fatalf("leader %d of round %d", leader, round)
	}
}

// A machine whose next wake-up lies in the past would be woken without end.
func TestAWakeUpIsNeverDueAtOnceAgain(test *testing.T) {
	for self := range 3 {
		place := quorumOf(3)
		place.Self = self
		machine, _ := election.Start(place, 0, 0, false)
		wakes := 0
		for now := schedule.Microseconds(0); now < 100*delta; wakes++ {
			machine.Wake(now)
			now = max(machine.Next(), now)
			if wakes > 1000 {
				test.Fatalf("slot %d, alone, was woken %d times by %dδ", self, wakes, now/delta)
			}
		}
	}
}

// A slot that was away hears of the later round from whoever it asks, even from one that may
// not answer as a candidate.
func TestAPingOfAnOldRoundIsAnsweredWithTheLaterOne(test *testing.T) {
	machine, _ := election.Start(quorumOf(3), 0, 3, false)
	for _, held := range []bool{false, true} {
		machine.Hold(held)
		sends := machine.Receive(1, 1, election.Message{Kind: election.PING, Round: 2})
		if len(sends) == 0 || sends[0] != (election.Send{To: 1, Message: election.Message{Kind: election.START, Round: 3}}) {
			test.Fatalf("held %v: a PING of round 2 in round 3 was answered with %v", held, sends)
		}
	}
}
