package singleton

import (
	"reflect"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/outbox"
)

// nextWith returns the next operation if the tasks return the given drafts, and a floor of 9 for reports.
func nextWith(leader *leadership, now clock.Microseconds, view outbox.View, drafts ...outbox.Entry) (outbox.Operation, bool) {
	floors := []outbox.Mark{newReport(9).Mark()}
	return leader.nextOperation(now, view, taskResponse{request: leader.nextRequest(view), drafts: drafts, floors: floors})
}

func TestLeadership_RepeatsUnresolvedProposalUnchanged(t *testing.T) {
	leader, view := newLeadership(testTerm), newOutboxView()
	first, due := nextWith(leader, 0, view, newReport(1))
	if !due || len(first.Drafts) != 1 {
		t.Fatalf("first operation = %+v, due %t, want one draft", first, due)
	}
	other := newReport(1)
	other.Payload = []byte("other counts")
	for _, outcome := range []proposalOutcome{proposalUnknown, proposalRefused, proposalUnknown} {
		leader.resolve(first, outcome)
		if again, due := nextWith(leader, 0, view, other); !due || !reflect.DeepEqual(again, first) {
			t.Errorf("operation after outcome %d = %+v, due %t, want %+v", outcome, again, due, first)
		}
	}
	leader.resolve(first, proposalApplied)
	if next, _ := nextWith(leader, 0, view, other); !reflect.DeepEqual(next.Drafts, []outbox.Entry{other}) {
		t.Errorf("operation after the result is known = %+v, want the new draft", next)
	}
}

func TestLeadership_CommitsMarksWithDraftsOrAfterDelay(t *testing.T) {
	leader, view := newLeadership(testTerm), newOutboxView(newReport(1))
	if _, due := nextWith(leader, 0, view); due {
		t.Error("an operation is due without drafts and marks")
	}
	leader.finish(clock.Second, newReport(1), accepted, 0)
	if _, due := nextWith(leader, clock.Second+markDelay-1, view); due {
		t.Error("a mark without drafts is proposed before markDelay")
	}
	marks := []outbox.Mark{newReport(1).Mark()}
	if operation, due := nextWith(leader, clock.Second, view, newReport(2)); !due || !reflect.DeepEqual(operation.Done, marks) {
		t.Errorf("with a draft: operation %+v, due %t, want marks %v", operation, due, marks)
	}
	if operation, due := nextWith(leader, clock.Second+markDelay, view); !due || !reflect.DeepEqual(operation.Done, marks) {
		t.Errorf("after markDelay: operation %+v, due %t, want marks %v", operation, due, marks)
	}
}

func TestLeadership_ResetsIncompleteOutbox(t *testing.T) {
	leader, state := newLeadership(testTerm), outbox.NewState()
	state.Incomplete = true
	operation, due := nextWith(leader, 0, state.View, newReport(1))
	if !due || !operation.Reset || len(operation.Drafts) != 0 || len(operation.Floors) != 1 {
		t.Fatalf("operation = %+v, due %t, want a reset with one floor", operation, due)
	}
	state.Apply(operation)
	if operation, _ := nextWith(leader, 0, state.View, newReport(9)); operation.Reset || len(operation.Drafts) != 1 {
		t.Errorf("operation after the reset = %+v, want one draft", operation)
	}
}
