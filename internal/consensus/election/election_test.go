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
	return receivedMessage{from, election.Message{Kind: kind, Term: term}}
}

// receiverModel is an independent implementation of lines 14 to 26 of Fig. 4 for OK, START and
// ALERT. It assumes that all messages arrive within 6δ, so that no ALERT expires.
type receiverModel struct {
	slots     int
	term      uint64
	leader    int
	okCount   int
	alertTerm uint64
}

// receive handles a message and reports whether the receiver must answer it with START.
func (m *receiverModel) receive(message election.Message) (answerExpected bool) {
	switch {
	case message.Kind == election.ALERT:
		m.alertTerm = max(m.alertTerm, message.Term)
		if message.Term > m.term {
			m.leader = election.NoLeader
		}
	case message.Term > m.term:
		m.term, m.okCount, m.leader = message.Term, 1, election.NoLeader
	case message.Term < m.term:
		return true
	default:
		m.okCount++
		if m.okCount >= 2 && m.alertTerm <= m.term {
			m.leader = int(m.term % uint64(m.slots))
		}
	}
	return false
}

// checkMessageOrder delivers messages in the given order to slot 2 of three slots, which is in term
// 3 of slot 0, and compares the elector with the model after each message.
func checkMessageOrder(t *testing.T, messages []receivedMessage, order []int) {
	t.Helper()
	elector, _ := election.Start(election.Config{Slots: 3, Self: 2, Delta: delta}, election.StartOptions{FirstTerm: 3})
	model := receiverModel{slots: 3, term: 3, leader: election.NoLeader}
	now := clock.Microseconds(0)
	for _, index := range order {
		message := messages[index]
		now += 10 * clock.Millisecond
		outgoing := elector.Receive(now, message.from, message.Message)
		if model.receive(message.Message) {
			answer := election.Message{Kind: election.START, Term: model.term}
			expected := election.OutgoingMessage{To: message.from, Message: answer}
			if len(outgoing) != 1 || outgoing[0] != expected {
				t.Fatalf("order %v: message %v of an earlier term was answered with %v", order, message, outgoing)
			}
		}
		if leader, term := elector.Leader(); leader != model.leader || term != model.term {
			t.Fatalf("order %v: after message %v the leader is %d in term %d, want %d in term %d",
				order, message, leader, term, model.leader, model.term)
		}
	}
}

// In every order of seven messages, the elector has the leader and the term that the rules of the
// paper give.
func TestElector_AllMessageOrders(t *testing.T) {
	messages := []receivedMessage{
		newReceivedMessage(0, election.OK, 3),
		newReceivedMessage(0, election.OK, 3),
		newReceivedMessage(1, election.ALERT, 4),
		newReceivedMessage(1, election.OK, 4),
		newReceivedMessage(1, election.OK, 4),
		newReceivedMessage(1, election.START, 2),
		newReceivedMessage(0, election.ALERT, 3),
	}
	Convey("every order of the messages follows the rules of the paper", t, func() {
		orders := 0
		simulation.Permutations(len(messages), func(order []int) {
			orders++
			checkMessageOrder(t, messages, order)
		})
		So(orders, ShouldEqual, 5040)
	})
}

func TestElector_AlertDelaysLeaderForSixDelta(t *testing.T) {
	for heartbeats := clock.Microseconds(0); heartbeats <= 8; heartbeats++ {
		elector, _ := election.Start(election.Config{Slots: 3, Self: 2, Delta: delta}, election.StartOptions{FirstTerm: 3})
		elector.Receive(0, 1, election.Message{Kind: election.ALERT, Term: 4})
		for heartbeat := clock.Microseconds(1); heartbeat <= heartbeats; heartbeat++ {
			elector.Receive(heartbeat*delta, 0, election.Message{Kind: election.OK, Term: 3})
		}
		leader, _ := elector.Leader()
		if expected := heartbeats > 6; (leader == 0) != expected {
			t.Errorf("%dδ after the ALERT the leader is %d", heartbeats, leader)
		}
	}
}

func TestElector_OnlyCandidateSendsHeartbeats(t *testing.T) {
	for self := range 3 {
		for term := range uint64(6) {
			elector, outgoing := election.Start(election.Config{Slots: 3, Self: self, Delta: delta}, election.StartOptions{FirstTerm: term})
			outgoing = append(outgoing, elector.Tick(delta)...)
			heartbeats := 0
			for _, message := range outgoing {
				if message.Kind == election.OK {
					heartbeats++
				}
			}
			if expected := int(term%3) == self; (heartbeats == 4) != expected || (heartbeats == 0) == expected {
				t.Errorf("slot %d sent %d heartbeats in term %d", self, heartbeats, term)
			}
		}
	}
}

func TestElector_RestartBarsEarlierTerms(t *testing.T) {
	elector, outgoing := election.Start(election.Config{Slots: 3, Self: 1, Delta: delta}, election.StartOptions{FirstTerm: 4, Restarted: true})
	for now := clock.Microseconds(0); now < 2*delta; now += delta / 4 {
		outgoing = append(outgoing, elector.Tick(now)...)
	}
	for _, message := range outgoing {
		if message.Kind == election.OK {
			t.Fatal("the restarted slot sent an OK in a term that it may have led before")
		}
	}
	elector.Receive(delta, 2, election.Message{Kind: election.PONG, Term: 4})
	elector.Tick(3 * delta)
	if _, term := elector.Leader(); term != 5 {
		t.Fatalf("the slot started term %d, want term 5 of the slot that answered", term)
	}
}

func TestElector_PauseDoesNotCountAsTimeout(t *testing.T) {
	elector, _ := election.Start(election.Config{Slots: 3, Self: 2, Delta: delta}, election.StartOptions{})
	elector.Receive(delta/2, 0, election.Message{Kind: election.OK, Term: 0})
	for _, message := range elector.Tick(100 * delta) {
		if message.Kind == election.ALERT {
			t.Fatal("a pause of the process counted as a timeout: an ALERT was sent")
		}
	}
}

// simulatedCluster runs electors over a simulated network. A link delivers messages within δ; while
// it is partitioned, it loses all messages.
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
	cluster := &simulatedCluster{
		Network:  simulation.NewNetwork(simulation.NewSimulator(seed), 1, delta),
		electors: make([]*election.Elector, slots),
		crashed:  crashed,
	}
	for self := range slots {
		if !crashed[self] {
			config.Self = self
			elector, outgoing := election.Start(config, election.StartOptions{Now: cluster.Now()})
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

// confirmDelivery acknowledges an OK to its sender, as the real transport does.
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

// agreedLeader returns the leader that all live slots output, and false if they output different
// ones or one of them has none.
func (s *simulatedCluster) agreedLeader() (int, bool) {
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

// crashSets calls visit with each set of crashed slots that leaves at least one slot alive.
func crashSets(slots int, visit func(seed uint64, crashed map[int]bool)) {
	for mask := range 1<<slots - 1 {
		crashed := map[int]bool{}
		for slot := range slots {
			if mask>>slot&1 == 1 {
				crashed[slot] = true
			}
		}
		visit(uint64(mask), crashed)
	}
}

func (s *simulatedCluster) crash(slots map[int]bool) {
	for slot := range slots {
		s.crashed[slot] = true
	}
}

// Theorem 5: 9δ after the last crash there is a leader, whichever slots have crashed.
func TestElection_ElectsWithinNineDelta(t *testing.T) {
	for slots := 3; slots <= 7; slots += 2 {
		crashSets(slots, func(seed uint64, crashed map[int]bool) {
			cluster := newSimulatedCluster(seed, slots, map[int]bool{})
			cluster.Run(10 * delta)
			cluster.crash(crashed)
			cluster.Run(9*delta + 2*delta/10)
			if leader, agreed := cluster.agreedLeader(); !agreed || crashed[leader] {
				t.Fatalf("%d slots, %v crashed: no live leader after 9δ", slots, crashed)
			}
		})
	}
}

// 6-stability: a leader whose links have all been good for 6δ is still leader one tick later,
// whatever the other slots do.
func TestElection_SixDeltaStability(t *testing.T) {
	checkSixDeltaStability(t, election.Config{Slots: 5, Delta: delta})
}

// 6-stability with a quorum of three slots: the deviations from the paper preserve it.
func TestElection_SixDeltaStabilityWithQuorum(t *testing.T) {
	checkSixDeltaStability(t, quorumConfig(5))
}

// linkFaults partitions links at random, and counts for how many ticks all links of each slot have
// been good.
type linkFaults struct {
	cluster   *simulatedCluster
	linksGood []bool
	goodTicks []int
}

// changePartitions heals all links, and then either partitions no link, or picks one slot and
// partitions about half of the links between the other slots.
func (l *linkFaults) changePartitions() {
	slots := len(l.linksGood)
	l.cluster.Heal()
	goodSlot := l.cluster.Random.IntN(slots + 2)
	for slot := range slots {
		l.linksGood[slot] = slot == goodSlot || goodSlot >= slots
	}
	for from := range slots {
		for to := range slots {
			if !l.linksGood[from] && !l.linksGood[to] && l.cluster.Random.IntN(2) == 0 {
				l.cluster.Partition(from, to)
			}
		}
	}
}

func (l *linkFaults) countTick() {
	for slot := range l.goodTicks {
		l.goodTicks[slot]++
		if !l.linksGood[slot] {
			l.goodTicks[slot] = 0
		}
	}
}

func checkSixDeltaStability(t *testing.T, config election.Config) {
	t.Helper()
	checked := 0
	for seed := range uint64(40) {
		checked += countStableTicks(t, seed, config)
	}
	if checked < 1000 {
		t.Fatalf("6-stability was checked at only %d ticks, want at least 1000", checked)
	}
}

// countStableTicks runs one cluster and checks 6-stability at each tick. It returns the number of
// ticks at which there was a leader whose links had been good for long enough.
func countStableTicks(t *testing.T, seed uint64, config election.Config) int {
	t.Helper()
	const slots, tickLength = 5, delta / 10
	cluster := newSimulatedClusterFrom(seed, config, map[int]bool{})
	faults := &linkFaults{cluster: cluster, linksGood: make([]bool, slots), goodTicks: make([]int, slots)}
	checked := 0
	for step := range 1500 {
		if step%37 == 0 {
			faults.changePartitions()
		}
		faults.countTick()
		before, agreed := cluster.agreedLeader()
		cluster.Run(tickLength)
		after, agreedAfter := cluster.agreedLeader()
		if !agreed || faults.goodTicks[before] <= 60+1 {
			continue
		}
		checked++
		if !agreedAfter || after != before {
			t.Fatalf("seed %d, step %d: leader %d had good links for 6δ, but is not leader any more", seed, step, before)
		}
	}
	return checked
}
