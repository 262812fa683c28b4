package singleton

import (
	"reflect"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/outbox"
)

// nextOf returns the next operation with these drafts and floors from the tasks.
func nextOf(leader *leadership, now clock.Microseconds, view outbox.View, drafts ...outbox.Entry) (outbox.Operation, bool) {
	floors := []outbox.Mark{newReport(9).Mark()}
	return leader.nextOperation(now, view, contribution{request: leader.nextRequest(view), drafts: drafts, floors: floors})
}

func TestLeadership_RepeatsUnresolvedProposalUnchanged(t *testing.T) {
	leader, view := newLeadership(testTerm), viewOf()
	first, due := nextOf(leader, 0, view, newReport(1))
	if !due || len(first.Drafts) != 1 {
		t.Fatalf("%+v, %t", first, due)
	}
	other := newReport(1)
	other.Payload = []byte("other counts")
	for _, outcome := range []proposalOutcome{proposalUnknown, proposalRefused, proposalUnknown} {
		leader.resolve(first, outcome)
		if again, due := nextOf(leader, 0, view, other); !due || !reflect.DeepEqual(again, first) {
			t.Errorf("after outcome %d: %+v, %t", outcome, again, due)
		}
	}
	leader.resolve(first, proposalApplied)
	if next, _ := nextOf(leader, 0, view, other); !reflect.DeepEqual(next.Drafts, []outbox.Entry{other}) {
		t.Errorf("after the result is known: %+v", next)
	}
}

func TestLeadership_CommitsMarksWithDraftsOrLate(t *testing.T) {
	leader, view := newLeadership(testTerm), viewOf(newReport(1))
	if _, due := nextOf(leader, 0, view); due {
		t.Error("there is nothing to propose")
	}
	leader.finish(clock.Second, newReport(1), accepted, 0)
	if _, due := nextOf(leader, clock.Second+markDelay-1, view); due {
		t.Error("a mark is proposed at once")
	}
	marks := []outbox.Mark{newReport(1).Mark()}
	if operation, due := nextOf(leader, clock.Second, view, newReport(2)); !due || !reflect.DeepEqual(operation.Done, marks) {
		t.Errorf("with a draft: %+v, %t", operation, due)
	}
	if operation, due := nextOf(leader, clock.Second+markDelay, view); !due || !reflect.DeepEqual(operation.Done, marks) {
		t.Errorf("late: %+v, %t", operation, due)
	}
}

func TestLeadership_ResetsIncompleteOutbox(t *testing.T) {
	leader, state := newLeadership(testTerm), outbox.NewState()
	state.Incomplete = true
	operation, due := nextOf(leader, 0, state.View, newReport(1))
	if !due || !operation.Reset || len(operation.Drafts) != 0 || len(operation.Floors) != 1 {
		t.Fatalf("%+v, %t", operation, due)
	}
	state.Apply(operation)
	if operation, _ := nextOf(leader, 0, state.View, newReport(9)); operation.Reset || len(operation.Drafts) != 1 {
		t.Errorf("after the reset: %+v", operation)
	}
}
