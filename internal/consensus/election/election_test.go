package election_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/faulttest/simulation"
)

const delta = 200 * clock.Millisecond

type receivedMessage struct {
	from int
	election.Message
}

func newReceivedMessage(from int, kind election.MessageKind, term uint64) receivedMessage {
	return receivedMessage{from, election.Message{Kind: kind, Round: term}}
}

// Slot 2 of three, in round 3 of slot 0: what follows from any order of these
// messages is told by the paper's lines 14 to 26, worked out here by hand.
func TestElector_AllMessageOrders(t *testing.T) {
	messages := []receivedMessage{
		newReceivedMessage(0, election.OK, 3), newReceivedMessage(0, election.OK, 3), newReceivedMessage(1, election.ALERT, 4),
		newReceivedMessage(1, election.OK, 4), newReceivedMessage(1, election.OK, 4), newReceivedMessage(1, election.START, 2), newReceivedMessage(0, election.ALERT, 3),
	}
	Convey("every order keeps the paper's rules", t, func() {
		orders := 0
		simulation.Permutations(len(messages), func(order []int) {
			orders++
			elector, _ := election.Start(election.Config{Slots: 3, Self: 2, Delta: delta}, 0, 3, false)
			term, okCount, alertTerm, now := uint64(3), 0, uint64(0), clock.Microseconds(0)
			leader := election.NoLeader
			for _, index := range order {
				message := messages[index]
				now += 10 * clock.Millisecond
				outgoing := elector.Receive(now, message.from, message.Message)
				switch {
				case message.Kind == election.ALERT:
					alertTerm = max(alertTerm, message.Round)
					if message.Round > term {
						leader = election.NoLeader
					}
				case message.Round > term:
					term, okCount, leader = message.Round, 1, election.NoLeader
				case message.Round < term:
					if len(outgoing) != 1 || outgoing[0].Kind != election.START || outgoing[0].Round != term || outgoing[0].To != message.from {
						t.Fatalf("order %v: %v of an old round was answered by %v", order, message, outgoing)
					}
				default:
					okCount++
					if okCount >= 2 && alertTerm <= term {
						leader = int(term % 3)
					}
				}
				if actualLeader, actualTerm := elector.Leader(); actualLeader != leader || actualTerm != term {
					t.Fatalf("order %v after %v: leader %d of round %d, not %d of %d", order, message, actualLeader, actualTerm, leader, term)
				}
			}
		})
		So(orders, ShouldEqual, 5040)
	})
}

func TestElector_AlertDelaysLeaderForSixDelta(t *testing.T) {
	for heartbeats := clock.Microseconds(0); heartbeats <= 8; heartbeats++ {
		elector, _ := election.Start(election.Config{Slots: 3, Self: 2, Delta: delta}, 0, 3, false)
		elector.Receive(0, 1, election.Message{Kind: election.ALERT, Round: 4})
		for heartbeat := clock.Microseconds(1); heartbeat <= heartbeats; heartbeat++ {
			elector.Receive(heartbeat*delta, 0, election.Message{Kind: election.OK, Round: 3})
		}
		leader, _ := elector.Leader()
		if expected := heartbeats > 6; (leader == 0) != expected {
			t.Errorf("%dδ after the alert the leader is %d", heartbeats, leader)
		}
	}
}

func TestElector_OnlyCandidateSendsHeartbeats(t *testing.T) {
	for self := range 3 {
		for term := range uint64(6) {
			elector, outgoing := election.Start(election.Config{Slots: 3, Self: self, Delta: delta}, 0, term, false)
			outgoing = append(outgoing, elector.Tick(delta)...)
			heartbeats := 0
			for _, message := range outgoing {
				if message.Kind == election.OK {
					heartbeats++
				}
			}
			if expected := int(term%3) == self; (heartbeats == 4) != expected || (heartbeats == 0) == expected {
				t.Errorf("slot %d sent %d heartbeats in round %d", self, heartbeats, term)
			}
		}
	}
}

func TestElector_RestartBarsEarlierTerms(t *testing.T) {
	elector, outgoing := election.Start(election.Config{Slots: 3, Self: 1, Delta: delta}, 0, 4, true)
	for now := clock.Microseconds(0); now < 2*delta; now += delta / 4 {
		outgoing = append(outgoing, elector.Tick(now)...)
	}
	for _, message := range outgoing {
		if message.Kind == election.OK {
			t.Fatal("it beats in a round that it may have led before")
		}
	}
	elector.Receive(delta, 2, election.Message{Kind: election.PONG, Round: 4})
	elector.Tick(3 * delta)
	if _, term := elector.Leader(); term != 5 {
		t.Fatalf("it went to round %d, not to the round of the slot that answered", term)
	}
}

func TestElector_PauseDoesNotCountAsTimeout(t *testing.T) {
	elector, _ := election.Start(election.Config{Slots: 3, Self: 2, Delta: delta}, 0, 0, false)
	elector.Receive(delta/2, 0, election.Message{Kind: election.OK, Round: 0})
	for _, message := range elector.Tick(100 * delta) {
		if message.Kind == election.ALERT {
			t.Fatal("it alerts for the time that it slept")
		}
	}
}

// simulatedCluster runs machines over a simulated network whose good links deliver
// within δ and whose bad links lose.
type simulatedCluster struct {
	*simulation.Network
	electors []*election.Elector
	crashed  map[int]bool
}

func newSimulatedCluster(seed uint64, slots int, crashed map[int]bool) *simulatedCluster {
	return newSimulatedClusterFrom(seed, election.Config{Slots: slots, Delta: delta}, crashed)
}

func newSimulatedClusterFrom(seed uint64, config election.Config, crashed map[int]bool) *simulatedCluster {
	slots := config.Slots
	cluster := &simulatedCluster{Network: simulation.NewNetwork(simulation.NewSimulator(seed), 1, delta), crashed: crashed}
	cluster.electors = make([]*election.Elector, slots)
	for self := range slots {
		if !crashed[self] {
			config.Self = self
			elector, outgoing := election.Start(config, cluster.Now(), 0, false)
			cluster.electors[self] = elector
			cluster.deliver(self, outgoing)
			cluster.Every(delta/20, func() bool {
				if !cluster.crashed[self] {
					cluster.deliver(self, elector.Tick(cluster.Now()))
				}
				return true
			})
		}
	}
	return cluster
}

func (s *simulatedCluster) deliver(from int, outgoing []election.OutgoingMessage) {
	sentAt := s.Now()
	for _, message := range outgoing {
		s.Send(from, message.To, func() {
			if s.crashed[message.To] {
				return
			}
			s.deliver(message.To, s.electors[message.To].Receive(s.Now(), from, message.Message))
			s.confirmDelivery(message, from, sentAt)
		})
	}
}

// confirmDelivery shows the sender of an OK that it has arrived, as the transport does.
func (s *simulatedCluster) confirmDelivery(message election.OutgoingMessage, to int, sentAt clock.Microseconds) {
	if message.Kind != election.OK {
		return
	}
	s.Send(message.To, to, func() {
		if !s.crashed[to] {
			s.electors[to].RecordAnswer(message.To, sentAt)
		}
	})
}

func (s *simulatedCluster) leader() (int, bool) {
	leader := election.NoLeader
	for slot, elector := range s.electors {
		if s.crashed[slot] {
			continue
		}
		output, _ := elector.Leader()
		if output == election.NoLeader || leader != election.NoLeader && output != leader {
			return election.NoLeader, false
		}
		leader = output
	}
	return leader, true
}

// Theorem 5: 9δ after the last crash, in a good period, whoever has crashed.
func TestElection_ElectsWithinNineDelta(t *testing.T) {
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
			cluster := newSimulatedCluster(uint64(crashMask), slots, map[int]bool{})
			cluster.Run(10 * delta)
			for slot := range crashed {
				cluster.crashed[slot] = true
			}
			cluster.Run(9*delta + 2*delta/10)
			if leader, agreed := cluster.leader(); !agreed || crashed[leader] {
				t.Fatalf("%d slots, %v dead: no leader after 9δ", slots, crashed)
			}
		}
	}
}

// 6-stability: a leader whose links were all good for 6δ is still leader a tick
// later, whatever the others do.
func TestElection_SixDeltaStability(t *testing.T) {
	checkSixDeltaStability(t, election.Config{Slots: 5, Delta: delta})
}

// The same with a quorum of three: its exceptions keep 6-stability.
func TestElection_SixDeltaStabilityWithQuorum(t *testing.T) {
	checkSixDeltaStability(t, quorumConfig(5))
}

func checkSixDeltaStability(t *testing.T, config election.Config) {
	const slots, tickLength = 5, delta / 10
	checked := 0
	for seed := range uint64(40) {
		cluster := newSimulatedClusterFrom(seed, config, map[int]bool{})
		accessible := make([]clock.Microseconds, slots)
		reachable := make([]bool, slots)
		for step := range 1500 {
			if step%37 == 0 {
				cluster.Heal()
				goodSlot := cluster.Random.IntN(slots + 2)
				for from := range slots {
					reachable[from] = from == goodSlot || goodSlot >= slots
				}
				for from := range slots {
					for to := range slots {
						if !reachable[from] && !reachable[to] && cluster.Random.IntN(2) == 0 {
							cluster.Partition(from, to)
						}
					}
				}
			}
			for slot := range slots {
				if accessible[slot]++; !reachable[slot] {
					accessible[slot] = 0
				}
			}
			before, agreed := cluster.leader()
			cluster.Run(tickLength)
			after, agreedAfter := cluster.leader()
			if agreed && accessible[before] > 60+1 {
				checked++
				if !agreedAfter || after != before {
					t.Fatalf("seed %d, step %d: %d was leader and accessible for 6δ, and is not leader any more", seed, step, before)
				}
			}
		}
	}
	if checked < 1000 {
		t.Fatalf("only %d moments were checked", checked)
	}
}
