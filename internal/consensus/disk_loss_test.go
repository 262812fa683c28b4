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

// deliverAmong delivers all messages between some slots, for a duration. All other messages stay in
// flight, and so do those that are withheld.
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
			case !slices.Contains(slots, message.From) || !slices.Contains(slots, message.To):
				index++
			case withheld != nil && withheld(message):
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

// diskLossCase says who may exchange messages at the end of the scenario.
type diskLossCase struct {
	slots int
	// withProposal are the slots that the entry of the first leader reaches.
	withProposal []int
	// withCandidate are the slots that exchange messages when the old promise arrives.
	withCandidate []int
}

func (d diskLossCase) allSlots() []int {
	return []int{0, 1, 2, 3, 4}[:d.slots]
}

// A replica promises the next term to a candidate, and loses its disk before the promise arrives.
// The leader of the term before, which does not know of it, restores it and commits an entry. Then
// the promise arrives: nothing that was committed may be lost.
func TestPromise_ArrivesAfterDiskLoss(t *testing.T) {
	for name, testCase := range map[string]diskLossCase{
		// Of three, the candidate must have voted for the change of membership itself.
		"three": {slots: 3, withProposal: []int{0, 2}, withCandidate: []int{1, 2}},
		// Of five, a majority can change it without the candidate and the one that has promised.
		"five": {slots: 5, withProposal: []int{0, 2, 4}, withCandidate: []int{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) { testPromiseAfterDiskLoss(t, testCase) })
	}
}

func testPromiseAfterDiskLoss(t *testing.T, testCase diskLossCase) {
	t.Helper()
	walk := newRandomWalk(1, testCase.slots)
	walk.deliverAmong(8*simulation.MaxMessageAge, testCase.allSlots(), nil)
	if !walk.replicas[0].IsLeader() {
		t.Fatal("the first candidate does not lead")
	}
	walk.withholdPromise(t)
	walk.loseDisk(t, testCase)
	_, _, _, output := walk.replicas[0].Propose(walk.now, make([]byte, 8))
	walk.handleOutput(0, output)
	walk.deliverAmong(2*simulation.MaxMessageAge, testCase.withProposal, nil)
	committedBefore := len(walk.committed)

	// Now the old promise arrives, before any message of the restarted replica.
	restarted := walk.replicas[2].config.LocalMember
	walk.deliverAmong(4*simulation.MaxMessageAge, testCase.withCandidate, func(message walkMessage) bool {
		return message.To == 2 || message.Sender == restarted
	})
	walk.deliverAmong(8*simulation.MaxMessageAge, testCase.withCandidate, nil)
	walk.deliverAmong(30*simulation.MaxMessageAge, testCase.allSlots(), nil)
	t.Logf("%d entries committed before, %d after", committedBefore, len(walk.committed))
	if len(walk.violations) > 0 {
		t.Error(walk.violations)
	}
	if len(walk.committed) <= committedBefore {
		t.Error("nothing is committed any more")
	}
}

// withholdPromise lets slot 1 prepare term 1 and slot 2 promise it; the promise stays in flight.
func (r *randomWalk) withholdPromise(t *testing.T) {
	t.Helper()
	withheld := func(message walkMessage) bool {
		return message.To == 1 && message.Kind == consensus.MsgPromise
	}
	start := consensus.Message{
		Kind:     consensus.MsgElection,
		From:     2,
		To:       1,
		Sender:   r.replicas[2].config.LocalMember,
		Election: election.Message{Kind: election.START, Term: 1},
	}
	r.handleOutput(1, r.replicas[1].Receive(r.now, start))
	r.deliverAmong(3*simulation.MaxMessageAge, []int{1, 2}, withheld)
	inFlight := slices.ContainsFunc(r.inFlight, func(message walkMessage) bool {
		return withheld(message) && message.From == 2 && message.Accepted
	})
	if !inFlight {
		t.Fatal("the promise is not in flight")
	}
}

// loseDisk restarts slot 2 with an empty disk, and lets the leader restore it without slot 1.
func (r *randomWalk) loseDisk(t *testing.T, testCase diskLossCase) {
	t.Helper()
	r.replicas[2].disk = wal.NewState()
	r.replicas[2].config.LocalMember.Identity = "2-1"
	r.start(2, false)
	remainingSlots := slices.DeleteFunc(testCase.allSlots(), func(slot int) bool { return slot == 1 })
	r.deliverAmong(8*simulation.MaxMessageAge, remainingSlots, nil)
	if testCase.slots == 5 {
		if r.replicas[2].Recovering() {
			t.Fatal("the replica does not come back")
		}
		r.deliverAmong(4*simulation.MaxMessageAge, []int{1, 3}, nil)
	}
}
