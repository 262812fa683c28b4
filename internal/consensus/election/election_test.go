package election_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/faulttest/simulation"
)

const delta = 200 * schedule.Millisecond

type letter struct {
	from int
	election.Message
}

func message(from int, kind election.Kind, round uint64) letter {
	return letter{from, election.Message{Kind: kind, Round: round}}
}

// Slot 2 of three, in round 3 of slot 0: what follows from any order of these
// messages is told by the paper's lines 14 to 26, worked out here by hand.
func TestAllOrdersOfAFewMessages(test *testing.T) {
	letters := []letter{
		message(0, election.OK, 3), message(0, election.OK, 3), message(1, election.ALERT, 4),
		message(1, election.OK, 4), message(1, election.OK, 4), message(1, election.START, 2), message(0, election.ALERT, 3),
	}
	Convey("every order keeps the paper's rules", test, func() {
		tried := 0
		simulation.Orders(len(letters), func(order []int) {
			tried++
			machine, _ := election.Start(election.Place{Slots: 3, Self: 2, Delta: delta}, 0, 3, false)
			round, okays, alert, now := uint64(3), 0, uint64(0), schedule.Microseconds(0)
			leader := election.Nobody
			for _, place := range order {
				each := letters[place]
				now += 10 * schedule.Millisecond
				sends := machine.Receive(now, each.from, each.Message)
				switch {
				case each.Kind == election.ALERT:
					alert = max(alert, each.Round)
					if each.Round > round {
						leader = election.Nobody
					}
				case each.Round > round:
					round, okays, leader = each.Round, 1, election.Nobody
				case each.Round < round:
					if len(sends) != 1 || sends[0].Kind != election.START || sends[0].Round != round || sends[0].To != each.from {
						test.Fatalf("order %v: %v of an old round was answered by %v", order, each, sends)
					}
				default:
					okays++
					if okays >= 2 && alert <= round {
						leader = int(round % 3)
					}
				}
				if found, at := machine.Leader(); found != leader || at != round {
					test.Fatalf("order %v after %v: leader %d of round %d, not %d of %d", order, each, found, at, leader, round)
				}
			}
		})
		So(tried, ShouldEqual, 5040)
	})
}

func TestAlertHoldsAdoptionForSixDelta(test *testing.T) {
	for late := schedule.Microseconds(0); late <= 8; late++ {
		machine, _ := election.Start(election.Place{Slots: 3, Self: 2, Delta: delta}, 0, 3, false)
		machine.Receive(0, 1, election.Message{Kind: election.ALERT, Round: 4})
		for beat := schedule.Microseconds(1); beat <= late; beat++ {
			machine.Receive(beat*delta, 0, election.Message{Kind: election.OK, Round: 3})
		}
		leader, _ := machine.Leader()
		if expected := late > 6; (leader == 0) != expected {
			test.Errorf("%dδ after the alert the leader is %d", late, leader)
		}
	}
}

func TestOnlyTheCandidateBeats(test *testing.T) {
	for self := range 3 {
		for round := range uint64(6) {
			machine, sends := election.Start(election.Place{Slots: 3, Self: self, Delta: delta}, 0, round, false)
			sends = append(sends, machine.Wake(delta)...)
			beats := 0
			for _, send := range sends {
				if send.Kind == election.OK {
					beats++
				}
			}
			if expected := int(round%3) == self; (beats == 4) != expected || (beats == 0) == expected {
				test.Errorf("slot %d sent %d heartbeats in round %d", self, beats, round)
			}
		}
	}
}

func TestARestartedSlotIsBarredFromRoundsItMayHaveLed(test *testing.T) {
	machine, sends := election.Start(election.Place{Slots: 3, Self: 1, Delta: delta}, 0, 4, true)
	for now := schedule.Microseconds(0); now < 2*delta; now += delta / 4 {
		sends = append(sends, machine.Wake(now)...)
	}
	for _, send := range sends {
		if send.Kind == election.OK {
			test.Fatal("it beats in a round that it may have led before")
		}
	}
	machine.Receive(delta, 2, election.Message{Kind: election.PONG, Round: 4})
	machine.Wake(3 * delta)
	if _, round := machine.Leader(); round != 5 {
		test.Fatalf("it went to round %d, not to the round of the slot that answered", round)
	}
}

func TestAFrozenSlotDoesNotCountItsSleep(test *testing.T) {
	machine, _ := election.Start(election.Place{Slots: 3, Self: 2, Delta: delta}, 0, 0, false)
	machine.Receive(delta/2, 0, election.Message{Kind: election.OK, Round: 0})
	for _, send := range machine.Wake(100 * delta) {
		if send.Kind == election.ALERT {
			test.Fatal("it alerts for the time that it slept")
		}
	}
}

// electorate runs machines over a simulated network whose good links deliver
// within δ and whose bad links lose.
type electorate struct {
	*simulation.Network
	machines []*election.Machine
	dead     map[int]bool
}

func newElectorate(seed uint64, slots int, dead map[int]bool) *electorate {
	return newElectorateOf(seed, election.Place{Slots: slots, Delta: delta}, dead)
}

func newElectorateOf(seed uint64, place election.Place, dead map[int]bool) *electorate {
	slots := place.Slots
	found := &electorate{Network: simulation.NewNetwork(simulation.NewWorld(seed), 1, delta), dead: dead}
	found.machines = make([]*election.Machine, slots)
	for self := range slots {
		if !dead[self] {
			place.Self = self
			machine, sends := election.Start(place, found.Now(), 0, false)
			found.machines[self] = machine
			found.post(self, sends)
			found.Every(delta/20, func() bool {
				if !found.dead[self] {
					found.post(self, machine.Wake(found.Now()))
				}
				return true
			})
		}
	}
	return found
}

func (s *electorate) post(from int, sends []election.Send) {
	asked := s.Now()
	for _, send := range sends {
		s.Send(from, send.To, func() {
			if s.dead[send.To] {
				return
			}
			s.post(send.To, s.machines[send.To].Receive(s.Now(), from, send.Message))
			s.answer(send, from, asked)
		})
	}
}

// answer shows the sender of an OK that it has arrived, as the transport does.
func (s *electorate) answer(send election.Send, to int, asked schedule.Microseconds) {
	if send.Kind != election.OK {
		return
	}
	s.Send(send.To, to, func() {
		if !s.dead[to] {
			s.machines[to].Answered(send.To, asked)
		}
	})
}

func (s *electorate) leader() (int, bool) {
	leader := election.Nobody
	for slot, machine := range s.machines {
		if s.dead[slot] {
			continue
		}
		output, _ := machine.Leader()
		if output == election.Nobody || leader != election.Nobody && output != leader {
			return election.Nobody, false
		}
		leader = output
	}
	return leader, true
}

// Theorem 5: 9δ after the last crash, in a good period, whoever has crashed.
func TestElectsWithinNineDelta(test *testing.T) {
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
			found := newElectorate(uint64(dead), slots, map[int]bool{})
			found.Run(10 * delta)
			for slot := range gone {
				found.dead[slot] = true
			}
			found.Run(9*delta + 2*delta/10)
			if leader, agreed := found.leader(); !agreed || gone[leader] {
				test.Fatalf("%d slots, %v dead: no leader after 9δ", slots, gone)
			}
		}
	}
}

// 6-stability: a leader whose links were all good for 6δ is still leader a tick
// later, whatever the others do.
func TestSixStable(test *testing.T) { sixStable(test, election.Place{Slots: 5, Delta: delta}) }

// The same with a quorum of three: its exceptions keep 6-stability.
func TestSixStableWithAQuorum(test *testing.T) { sixStable(test, quorumOf(5)) }

func sixStable(test *testing.T, place election.Place) {
	const slots, tick = 5, delta / 10
	kept := 0
	for seed := range uint64(40) {
		found := newElectorateOf(seed, place, map[int]bool{})
		accessible := make([]schedule.Microseconds, slots)
		good := make([]bool, slots)
		for step := range 1500 {
			if step%37 == 0 {
				found.Heal()
				chosen := found.Chance.IntN(slots + 2)
				for from := range slots {
					good[from] = from == chosen || chosen >= slots
				}
				for from := range slots {
					for to := range slots {
						if !good[from] && !good[to] && found.Chance.IntN(2) == 0 {
							found.Cut(from, to)
						}
					}
				}
			}
			for slot := range slots {
				if accessible[slot]++; !good[slot] {
					accessible[slot] = 0
				}
			}
			before, agreed := found.leader()
			found.Run(tick)
			after, still := found.leader()
			if agreed && accessible[before] > 60+1 {
				kept++
				if !still || after != before {
					test.Fatalf("seed %d, step %d: %d was leader and accessible for 6δ, and is not leader any more", seed, step, before)
				}
			}
		}
	}
	if kept < 1000 {
		test.Fatalf("only %d moments were checked", kept)
	}
}
