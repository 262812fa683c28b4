package part_test

import (
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

// among delivers all that goes between some members, for a span; the rest stays on its way.
// What hold picks stays as well.
func (r *walk) among(span schedule.Microseconds, slots []int, hold func(walkMessage) bool) {
	for end := r.now + span; r.now < end; r.now += simulation.Delta / 8 {
		for _, slot := range slots {
			r.carry(slot, r.members[slot].Wake(r.now))
			r.sync(slot)
		}
		for place := 0; place < len(r.onWay); {
			message := r.onWay[place]
			switch {
			case message.Kind == part.Elect && r.now-message.at > simulation.Delta:
				r.drop(place)
			case !slices.Contains(slots, message.From) || !slices.Contains(slots, message.To) || hold != nil && hold(message):
				place++
			default:
				r.drop(place)
				r.carry(message.To, r.members[message.To].Receive(r.now, message.Message))
				r.sync(message.To)
				place = 0
			}
		}
	}
}

// A member promises the next round to a candidate, and loses its disk before the promise
// arrives. The leader of the round before, which has not heard of it, takes it back, and
// acknowledges an entry. Then the promise arrives: nothing that was committed may go.
func TestAPromiseThatOutlivesItsDisk(test *testing.T) {
	for name, each := range map[string]struct {
		slots         int
		with, without []int
	}{
		// Of three, the candidate must have voted for the change of the seat itself.
		"three": {3, []int{0, 2}, []int{1, 2}},
		// Of five, a majority can change the seat without the candidate and the promised.
		"five": {5, []int{0, 2, 4}, []int{1, 2, 3}},
	} {
		test.Run(name, func(test *testing.T) {
			walk := newWalk(1, each.slots)
			everyone := []int{0, 1, 2, 3, 4}[:each.slots]
			walk.among(8*simulation.Delta, everyone, nil)
			if !walk.members[0].Owns() {
				test.Fatal("the first candidate does not lead")
			}
			// Member 1 begins its round, and is promised it by member 2 alone.
			heldBack := func(message walkMessage) bool { return message.To == 1 && message.Kind == part.Promise }
			start := part.Message{Kind: part.Elect, From: 2, To: 1, Sender: walk.members[2].place.Me, Election: election.Message{Kind: election.START, Round: 1}}
			walk.carry(1, walk.members[1].Receive(walk.now, start))
			walk.among(3*simulation.Delta, []int{1, 2}, heldBack)
			if !slices.ContainsFunc(walk.onWay, func(message walkMessage) bool { return heldBack(message) && message.From == 2 && message.Accepted }) {
				test.Fatal("the promise is not on its way")
			}
			// Member 2 loses its disk, and comes back to the leader that is left.
			walk.members[2].disk = journal.NewImage()
			walk.members[2].place.Me.Identity = "2-1"
			walk.start(2, false)
			rest := slices.DeleteFunc(slices.Clone(everyone), func(slot int) bool { return slot == 1 })
			walk.among(8*simulation.Delta, rest, nil)
			if each.slots == 5 {
				if walk.members[2].Recovering() {
					test.Fatal("the member does not come back")
				}
				walk.among(4*simulation.Delta, []int{1, 3}, nil)
			}
			_, _, _, output := walk.members[0].Propose(walk.now, make([]byte, 8))
			walk.carry(0, output)
			walk.among(2*simulation.Delta, each.with, nil)
			before := len(walk.committed)
			// Now the old promise arrives, before anything that the new member says.
			fresh := walk.members[2].place.Me
			walk.among(4*simulation.Delta, each.without, func(message walkMessage) bool { return message.To == 2 || message.Sender == fresh })
			walk.among(8*simulation.Delta, each.without, nil)
			walk.among(30*simulation.Delta, everyone, nil)
			if test.Logf("%d entries committed before, %d after", before, len(walk.committed)); len(walk.faults) > 0 {
				test.Error(walk.faults)
			}
			if len(walk.committed) <= before {
				test.Error("nothing is committed any more")
			}
		})
	}
}
