package consensus_test

import (
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

// deliverAmong delivers all that goes between some members, for a span; the rest stays on its way.
// What hold picks stays as well.
func (r *randomWalk) deliverAmong(duration clock.Microseconds, slots []int, withheld func(walkMessage) bool) {
	for end := r.now + duration; r.now < end; r.now += simulation.MaxMessageAge / 8 {
		for _, slot := range slots {
			r.handleOutput(slot, r.replicas[slot].Tick(r.now))
			r.sync(slot)
		}
		for index := 0; index < len(r.inFlight); {
			message := r.inFlight[index]
			switch {
			case message.Kind == consensus.MsgElection && r.now-message.sentAt > simulation.MaxMessageAge:
				r.drop(index)
			case !slices.Contains(slots, message.From) || !slices.Contains(slots, message.To) || withheld != nil && withheld(message):
				index++
			default:
				r.drop(index)
				r.handleOutput(message.To, r.replicas[message.To].Receive(r.now, message.Message))
				r.sync(message.To)
				index = 0
			}
		}
	}
}

// A member promises the next round to a candidate, and loses its disk before the promise
// arrives. The leader of the round before, which has not heard of it, takes it back, and
// acknowledges an entry. Then the promise arrives: nothing that was committed may go.
func TestPromise_ArrivesAfterDiskLoss(t *testing.T) {
	for name, testCase := range map[string]struct {
		slots                                       int
		replicasWithProposal, replicasWithCandidate []int
	}{
		// Of three, the candidate must have voted for the change of the seat itself.
		"three": {3, []int{0, 2}, []int{1, 2}},
		// Of five, a majority can change the seat without the candidate and the promised.
		"five": {5, []int{0, 2, 4}, []int{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			walk := newRandomWalk(1, testCase.slots)
			allSlots := []int{0, 1, 2, 3, 4}[:testCase.slots]
			walk.deliverAmong(8*simulation.MaxMessageAge, allSlots, nil)
			if !walk.replicas[0].IsLeader() {
				t.Fatal("the first candidate does not lead")
			}
			// Member 1 begins its round, and is promised it by member 2 alone.
			withheld := func(message walkMessage) bool { return message.To == 1 && message.Kind == consensus.MsgPromise }
			start := consensus.Message{Kind: consensus.MsgElection, From: 2, To: 1, Sender: walk.replicas[2].config.LocalMember, Election: election.Message{Kind: election.START, Round: 1}}
			walk.handleOutput(1, walk.replicas[1].Receive(walk.now, start))
			walk.deliverAmong(3*simulation.MaxMessageAge, []int{1, 2}, withheld)
			if !slices.ContainsFunc(walk.inFlight, func(message walkMessage) bool { return withheld(message) && message.From == 2 && message.Accepted }) {
				t.Fatal("the promise is not on its way")
			}
			// Member 2 loses its disk, and comes back to the leader that is left.
			walk.replicas[2].disk = wal.NewState()
			walk.replicas[2].config.LocalMember.Identity = "2-1"
			walk.start(2, false)
			remainingSlots := slices.DeleteFunc(slices.Clone(allSlots), func(slot int) bool { return slot == 1 })
			walk.deliverAmong(8*simulation.MaxMessageAge, remainingSlots, nil)
			if testCase.slots == 5 {
				if walk.replicas[2].Recovering() {
					t.Fatal("the member does not come back")
				}
				walk.deliverAmong(4*simulation.MaxMessageAge, []int{1, 3}, nil)
			}
			_, _, _, output := walk.replicas[0].Propose(walk.now, make([]byte, 8))
			walk.handleOutput(0, output)
			walk.deliverAmong(2*simulation.MaxMessageAge, testCase.replicasWithProposal, nil)
			committedBefore := len(walk.committed)
			// Now the old promise arrives, before anything that the new member says.
			restartedMember := walk.replicas[2].config.LocalMember
			walk.deliverAmong(4*simulation.MaxMessageAge, testCase.replicasWithCandidate, func(message walkMessage) bool { return message.To == 2 || message.Sender == restartedMember })
			walk.deliverAmong(8*simulation.MaxMessageAge, testCase.replicasWithCandidate, nil)
			walk.deliverAmong(30*simulation.MaxMessageAge, allSlots, nil)
			if t.Logf("%d entries committed before, %d after", committedBefore, len(walk.committed)); len(walk.violations) > 0 {
				t.Error(walk.violations)
			}
			if len(walk.committed) <= committedBefore {
				t.Error("nothing is committed any more")
			}
		})
	}
}
