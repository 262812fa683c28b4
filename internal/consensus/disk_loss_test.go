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

// deliverAmong delivers all messages between the given slots for a duration. Other messages, and
// those for which withheld returns true, stay in flight.
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

// diskLossCase defines which slots exchange messages in the phases after the loss of the disk.
type diskLossCase struct {
	slots int
	// proposalSlots holds the slots that the entry of the first leader reaches.
	proposalSlots []int
	// candidateSlots holds the slots that exchange messages when the delayed promise arrives.
	candidateSlots []int
}

func (d diskLossCase) allSlots() []int {
	return []int{0, 1, 2, 3, 4}[:d.slots]
}

// Guards against the loss of committed entries when a replica promises the next term to a candidate
// and loses its disk before the promise arrives. The leader of the preceding term does not know of
// the promise, restores the replica and commits an entry. Then the promise arrives at the
// candidate.
func TestPromise_ArrivesAfterDiskLoss(t *testing.T) {
	for name, testCase := range map[string]diskLossCase{
		// With three slots, the candidate itself must have voted for the membership change.
		"three": {slots: 3, proposalSlots: []int{0, 2}, candidateSlots: []int{1, 2}},
		// With five slots, a majority can change the membership without the candidate and without
		// the replica that has given the promise.
		"five": {slots: 5, proposalSlots: []int{0, 2, 4}, candidateSlots: []int{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) { testPromiseAfterDiskLoss(t, testCase) })
	}
}

func testPromiseAfterDiskLoss(t *testing.T, testCase diskLossCase) {
	t.Helper()
	walk := newRandomWalk(1, testCase.slots)
	walk.deliverAmong(8*simulation.MaxMessageAge, testCase.allSlots(), nil)
	if !walk.replicas[0].IsLeader() {
		t.Fatal("slot 0 does not lead")
	}
	walk.withholdPromise(t)
	walk.loseDisk(t, testCase)
	_, _, _, output := walk.replicas[0].Propose(walk.now, make([]byte, 8))
	walk.handleOutput(0, output)
	walk.deliverAmong(2*simulation.MaxMessageAge, testCase.proposalSlots, nil)
	committedBefore := len(walk.committed)

	// The delayed promise arrives before any message of the restarted replica.
	restarted := walk.replicas[2].config.LocalMember
	walk.deliverAmong(4*simulation.MaxMessageAge, testCase.candidateSlots, func(message walkMessage) bool {
		return message.To == 2 || message.Sender == restarted
	})
	walk.deliverAmong(8*simulation.MaxMessageAge, testCase.candidateSlots, nil)
	walk.deliverAmong(30*simulation.MaxMessageAge, testCase.allSlots(), nil)
	t.Logf("%d entries committed before the delayed promise, %d after", committedBefore, len(walk.committed))
	if len(walk.violations) > 0 {
		t.Error(walk.violations)
	}
	if len(walk.committed) <= committedBefore {
		t.Error("no entry was committed after the delayed promise arrived")
	}
}

// withholdPromise makes slot 1 prepare term 1 and slot 2 promise it, and leaves the promise in
// flight.
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
		t.Fatal("no promise of slot 2 to slot 1 is in flight")
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
			t.Fatal("slot 2 is still recovering after the loss of its disk")
		}
		r.deliverAmong(4*simulation.MaxMessageAge, []int{1, 3}, nil)
	}
}
