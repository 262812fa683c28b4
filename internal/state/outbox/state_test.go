package outbox_test

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/outbox"
)

var (
	usageSubject    = outbox.Subject{Kind: "usage", Name: "windows"}
	capacitySubject = outbox.Subject{Kind: "capacity", Name: "service/zone"}
)

func newReport(number uint64, body string) outbox.Entry {
	return outbox.Entry{Subject: usageSubject, Number: number, Retention: outbox.RetainEach, Payload: []byte(body)}
}

func newOrder(number uint64, body string) outbox.Entry {
	return outbox.Entry{Subject: capacitySubject, Number: number, Retention: outbox.RetainLatest, Payload: []byte(body)}
}

// propose encodes an operation with these drafts, decodes and applies it as a replica does with a log entry, and
// returns the codes of the drafts.
func propose(t *testing.T, state *outbox.State, drafts ...outbox.Entry) []errcode.Code {
	t.Helper()
	operation, err := outbox.DecodeOperation(outbox.Operation{Drafts: drafts}.Encode())
	if err != nil {
		t.Fatal(err)
	}
	result, err := outbox.DecodeResult(state.Apply(operation).Encode())
	if err != nil {
		t.Fatal(err)
	}
	return result.Codes
}

func requireCodes(t *testing.T, got []errcode.Code, want ...errcode.Code) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("codes %v, want %v", got, want)
	}
}

func requirePending(t *testing.T, state *outbox.State, bodies ...string) {
	t.Helper()
	var pending []string
	for _, entry := range state.Pending {
		pending = append(pending, string(entry.Payload))
	}
	if !slices.Equal(pending, bodies) {
		t.Errorf("pending %v, want %v", pending, bodies)
	}
}

func markDone(state *outbox.State, entry outbox.Entry) {
	state.Apply(outbox.Operation{Done: []outbox.Mark{entry.Mark()}})
}

func TestRetainEach_AcceptsEachNumberOnce(t *testing.T) {
	state := outbox.NewState()
	requireCodes(t, propose(t, state, newReport(5, "five"), newReport(5, "other"), newReport(4, "four"), newReport(7, "seven")),
		errcode.OK, errcode.EntryNumberTaken, errcode.EntryNumberTaken, errcode.OK)
	requirePending(t, state, "five", "seven")
	markDone(state, newReport(5, ""))
	requirePending(t, state, "seven")
	requireCodes(t, propose(t, state, newReport(5, "other"), newReport(7, "seven")),
		errcode.EntryNumberTaken, errcode.EntryNumberTaken)
	markDone(state, newReport(7, ""))
	requireCodes(t, propose(t, state, newReport(7, "other")), errcode.EntryNumberTaken)
	requirePending(t, state)
	if highest, known := state.Highest(usageSubject); !known || highest != 7 {
		t.Errorf("highest number %d, known %t, want 7 and true", highest, known)
	}
}

func TestRetainLatest_SupersedesPendingEntry(t *testing.T) {
	state := outbox.NewState()
	requireCodes(t, propose(t, state, newOrder(1, "six"), newReport(1, "window"), newOrder(2, "seven")),
		errcode.OK, errcode.OK, errcode.OK)
	requirePending(t, state, "window", "seven")
	markDone(state, newOrder(1, ""))
	requirePending(t, state, "window", "seven")
	markDone(state, newOrder(2, ""))
	requirePending(t, state, "window")
	requireCodes(t, propose(t, state, newOrder(2, "eight")), errcode.EntryNumberTaken)
	if latest, known := state.Latest(capacitySubject); !known || string(latest.Payload) != "seven" || latest.Number != 2 {
		t.Errorf("latest entry %+v, known %t, want number 2 with payload seven", latest, known)
	}
	if state.Superseded != 1 || state.Accepted != 3 {
		t.Errorf("%d entries superseded and %d accepted, want 1 and 3", state.Superseded, state.Accepted)
	}
}

// Marks may be applied in any order. A mark that is applied twice, after a mark with a higher number, or for an
// entry that doesn't exist, must change nothing.
func TestMarks_ApplyInAnyOrder(t *testing.T) {
	simulation.Permutations(4, func(order []int) {
		state := outbox.NewState()
		propose(t, state, newReport(1, "1"), newReport(2, "2"), newReport(3, "3"))
		for _, position := range order {
			markDone(state, newReport(uint64(position), ""))
		}
		requirePending(t, state)
		requireCodes(t, propose(t, state, newReport(3, "other")), errcode.EntryNumberTaken)
	})
}

func TestDrafts_RejectsMalformedEntries(t *testing.T) {
	state := outbox.NewState()
	unnamed, unretained, large := newReport(1, "a"), newReport(1, "b"), newReport(1, "c")
	unnamed.Kind = ""
	unretained.Retention = 0
	large.Payload = make([]byte, 128<<10+1)
	requireCodes(t, propose(t, state, unnamed, unretained, large), errcode.Malformed, errcode.Malformed, errcode.Malformed)
	requireCodes(t, propose(t, state, newReport(1, "a")), errcode.OK)
	mixed := newReport(2, "b")
	mixed.Retention = outbox.RetainLatest
	requireCodes(t, propose(t, state, mixed), errcode.Malformed)
	requirePending(t, state, "a")
}

func TestLimits_RejectExcessEntries(t *testing.T) {
	state := outbox.NewState()
	for number := range uint64(256) {
		requireCodes(t, propose(t, state, newReport(number, "")), errcode.OK)
	}
	requireCodes(t, propose(t, state, newReport(256, ""), newOrder(1, "six")), errcode.OutboxFull, errcode.OK)
	markDone(state, newReport(0, ""))
	requireCodes(t, propose(t, state, newReport(256, "")), errcode.OK)

	state = outbox.NewState()
	for number := range uint64(4) {
		requireCodes(t, propose(t, state, newReport(number, string(make([]byte, 128<<10)))), errcode.OK)
	}
	requireCodes(t, propose(t, state, newOrder(1, "six")), errcode.OutboxFull)
	if _, known := state.Subjects[capacitySubject]; known {
		t.Error("a rejected entry left a record of its subject")
	}
}

// At the limit of subjects, a new subject must replace the idle one with the oldest entry. Subjects with a pending
// entry or with RetainEach must stay.
func TestLimits_EvictOldestIdleSubject(t *testing.T) {
	const subjects = 4096
	state := outbox.NewState()
	propose(t, state, newReport(1, ""))
	markDone(state, newReport(1, ""))
	numbered := func(number int) outbox.Entry {
		entry := newOrder(1, "")
		entry.Name = fmt.Sprint(number)
		return entry
	}
	for number := range subjects - 1 {
		requireCodes(t, propose(t, state, numbered(number)), errcode.OK)
		if number > 0 {
			markDone(state, numbered(number))
		}
	}
	requireCodes(t, propose(t, state, numbered(subjects)), errcode.OK)
	_, reportKept := state.Subjects[usageSubject]
	_, pendingKept := state.Subjects[numbered(0).Subject]
	_, oldestKept := state.Subjects[numbered(1).Subject]
	_, nextKept := state.Subjects[numbered(2).Subject]
	if !reportKept || !pendingKept || oldestKept || !nextKept || len(state.Subjects) != subjects {
		t.Errorf("kept: RetainEach %t, pending %t, oldest idle %t, next idle %t of %d subjects; want all but the oldest of %d",
			reportKept, pendingKept, oldestKept, nextKept, len(state.Subjects), subjects)
	}
}

// Operations that are applied after a view was copied must not change the copy.
func TestView_IsNotModifiedByOperations(t *testing.T) {
	state := outbox.NewState()
	propose(t, state, newReport(1, "1"), newOrder(1, "a"))
	view := state.View
	propose(t, state, newReport(2, "2"), newOrder(2, "b"))
	markDone(state, newReport(2, ""))
	if len(view.Pending) != 2 || string(view.Pending[1].Payload) != "a" || view.Subjects[usageSubject].Highest != 1 {
		t.Errorf("the view has changed: %+v", view)
	}
}

func TestReset_FloorsAreNeverAccepted(t *testing.T) {
	state := outbox.NewState()
	state.Incomplete = true
	requireCodes(t, propose(t, state, newReport(9, "nine")), errcode.OutboxIncomplete)
	reset := outbox.Operation{Reset: true, Floors: []outbox.Mark{{Subject: usageSubject, Number: 9}}}
	state.Apply(reset)
	requireCodes(t, propose(t, state, newReport(9, "nine"), newReport(10, "ten"), newOrder(1, "six")),
		errcode.EntryNumberTaken, errcode.OK, errcode.OK)
	complete := outbox.NewState()
	propose(t, complete, newReport(8, "eight"), newReport(9, "other"))
	complete.Apply(reset)
	if complete.Dropped != 2 {
		t.Errorf("%d entries were counted as dropped, want 2", complete.Dropped)
	}
	propose(t, complete, newReport(10, "ten"), newOrder(1, "six"))
	if !reflect.DeepEqual(complete.Pending, state.Pending) || !rejectSameNumbers(complete, state) {
		t.Errorf("after the same reset, a complete outbox is %+v and an incomplete one is %+v", complete, state)
	}
}

// rejectSameNumbers reports whether two outboxes reject the same numbers.
func rejectSameNumbers(left, right *outbox.State) bool {
	for _, subject := range []outbox.Subject{usageSubject, capacitySubject} {
		if left.Subjects[subject].Highest != right.Subjects[subject].Highest {
			return false
		}
	}
	return len(left.Subjects) == len(right.Subjects)
}

func TestOperation_DiffersFromGobStream(t *testing.T) {
	encoded := outbox.Operation{Drafts: []outbox.Entry{newReport(1, "a")}}.Encode()
	if !outbox.IsOperation(encoded) || outbox.IsOperation(encoded[1:]) || outbox.IsOperation(nil) {
		t.Error("IsOperation doesn't distinguish an operation from other data")
	}
	if _, err := outbox.DecodeOperation(encoded[1:]); errcode.CodeOf(err, errcode.OK) != errcode.MalformedMessage {
		t.Errorf("data that is not an operation: error %v, want MalformedMessage", err)
	}
	if _, err := outbox.DecodeOperation(encoded[:10]); errcode.CodeOf(err, errcode.OK) != errcode.MalformedMessage {
		t.Errorf("a truncated operation: error %v, want MalformedMessage", err)
	}
}

func TestWireForm_RestoresState(t *testing.T) {
	state := outbox.NewState()
	if !state.IsEmpty() {
		t.Error("a new outbox is not reported as empty")
	}
	propose(t, state, newReport(1, "1"), newReport(2, "2"), newOrder(1, "a"), newOrder(2, "b"))
	markDone(state, newOrder(2, ""))
	restored := state.ToWire().ToDomain()
	if !reflect.DeepEqual(restored, state) || restored.IsEmpty() {
		t.Errorf("restored %+v, want %+v", restored, state)
	}
	if !bytes.Equal(restored.Pending[1].Payload, []byte("2")) {
		t.Errorf("restored payload %q, want 2", restored.Pending[1].Payload)
	}
}
