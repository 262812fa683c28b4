package singleton

import (
	"fmt"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
)

const testTerm = 5

// testGuard is a lease of testTerm that never expires.
var testGuard = &enginecommand.LeaseGuard{Term: testTerm, NotAfter: clock.Never}

func newEntry(kind, name string, number uint64, retention outbox.Retention, priority outbox.Priority) outbox.Entry {
	return outbox.Entry{
		Subject:   outbox.Subject{Kind: kind, Name: name},
		Number:    number,
		Retention: retention,
		Priority:  priority,
		Payload:   fmt.Appendf(nil, "%s %s %d", kind, name, number),
	}
}

// newReport returns a usage report. Every accepted report is delivered, in the order of the numbers.
func newReport(number uint64) outbox.Entry {
	return newEntry("usage", "windows", number, outbox.RetainEach, outbox.PriorityReport)
}

// newOrder returns a capacity order. A newer order replaces the pending ones of its subject.
func newOrder(name string, number uint64, priority outbox.Priority) outbox.Entry {
	return newEntry("capacity", name, number, outbox.RetainLatest, priority)
}

// newOutboxView returns the view of an outbox that has accepted the given entries.
func newOutboxView(entries ...outbox.Entry) outbox.View {
	state := outbox.NewState()
	state.Apply(outbox.Operation{Drafts: entries})
	return state.View
}

var (
	accepted = callOutcome{judgement: platformport.JudgementAccepted}
	refused  = callOutcome{judgement: platformport.JudgementRefused}
	failed   = callOutcome{judgement: platformport.JudgementRetry, reason: "failed"}
	blocked  = callOutcome{judgement: platformport.JudgementRetry, blocked: true}
)

// sendAll makes the calls that are ready at the given time, up to 20, all with the same outcome. It returns their
// bodies in order.
func sendAll(calls *delivery, now clock.Microseconds, view outbox.View, outcome callOutcome) []string {
	var bodies []string
	for range 20 {
		entry, state := calls.next(now, testGuard, view)
		if state != readinessReady {
			break
		}
		calls.begin()
		bodies = append(bodies, string(entry.Payload))
		calls.finish(now, entry, outcome, 0)
	}
	return bodies
}

func requireBodies(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("sent %q, want %q", got, want)
	}
}

func TestDelivery_OrderOfCalls(t *testing.T) {
	view := newOutboxView(
		newOrder("down", 1, outbox.PriorityDecrease), newOrder("first", 1, outbox.PriorityIncrease), newReport(1),
		newOrder("second", 1, outbox.PriorityIncrease), newReport(2),
	)
	requireBodies(t, sendAll(newDelivery(testTerm), 0, view, accepted),
		"usage windows 1", "usage windows 2", "capacity first 1", "capacity second 1", "capacity down 1")
	requireBodies(t, sendAll(newDelivery(testTerm), 0, view, refused),
		"usage windows 1", "usage windows 2", "capacity first 1", "capacity second 1", "capacity down 1")
}

// A failed call delays the later entries of its own subject, but not those of other subjects. The delay doubles with
// each failure.
func TestDelivery_BacksOffPerSubject(t *testing.T) {
	calls, view := newDelivery(testTerm), newOutboxView(newReport(1), newReport(2), newOrder("up", 1, outbox.PriorityIncrease))
	now := clock.Second
	requireBodies(t, sendAll(calls, now, view, failed), "usage windows 1", "capacity up 1")
	for _, wait := range []clock.Microseconds{250, 500, 1000, 2000, 4000, 4000} {
		now += wait*clock.Millisecond - 1
		requireBodies(t, sendAll(calls, now, view, failed))
		now++
		requireBodies(t, sendAll(calls, now, view, failed), "usage windows 1", "capacity up 1")
	}
	now += maxBackoff
	requireBodies(t, sendAll(calls, now, view, accepted), "usage windows 1", "usage windows 2", "capacity up 1")
	if failures := calls.subjects[newReport(1).Subject].failures; failures != 0 {
		t.Errorf("failures after a success = %d, want 0", failures)
	}
}

func TestBackoff_Jitter(t *testing.T) {
	for failures, longest := range []clock.Microseconds{250, 250, 500, 1000, 2000, 4000, 4000} {
		longest *= clock.Millisecond
		if got := backoff(failures, 0); got != longest {
			t.Errorf("backoff(%d, 0) = %d, want %d", failures, got, longest)
		}
		if got := backoff(failures, 0.999); got < longest/2 || got > longest/2+longest/100 {
			t.Errorf("backoff(%d, 0.999) = %d, want about half of %d", failures, got, longest)
		}
	}
	if got := backoff(1000, 0); got != maxBackoff {
		t.Errorf("backoff(1000, 0) = %d, want maxBackoff", got)
	}
}

func TestDelivery_OneCallInFlight(t *testing.T) {
	calls, view := newDelivery(testTerm), newOutboxView(newReport(1), newOrder("up", 1, outbox.PriorityIncrease))
	entry, _ := calls.next(0, testGuard, view)
	calls.begin()
	if _, state := calls.next(0, testGuard, view); state != readinessNone {
		t.Errorf("readiness while a call is in flight = %d, want %d", state, readinessNone)
	}
	calls.finish(0, entry, accepted, 0)
	if _, state := calls.next(0, testGuard, view); state != readinessReady {
		t.Errorf("readiness after the call = %d, want %d", state, readinessReady)
	}
}

func TestDelivery_NeedsLeaseOfItsTerm(t *testing.T) {
	calls, view := newDelivery(testTerm), newOutboxView(newReport(1))
	now := 10 * clock.Second
	for name, test := range map[string]struct {
		guard *enginecommand.LeaseGuard
		want  readiness
	}{
		"no lease":          {nil, readinessBlocked},
		"quiet":             {&enginecommand.LeaseGuard{Term: testTerm, NotBefore: now + 1, NotAfter: clock.Never}, readinessBlocked},
		"ends too soon":     {&enginecommand.LeaseGuard{Term: testTerm, NotAfter: now + sendTimeout}, readinessBlocked},
		"of another term":   {&enginecommand.LeaseGuard{Term: testTerm + 2, NotAfter: clock.Never}, readinessBlocked},
		"outlasts the call": {&enginecommand.LeaseGuard{Term: testTerm, NotAfter: now + sendTimeout + 1}, readinessReady},
	} {
		if _, state := calls.next(now, test.guard, view); state != test.want {
			t.Errorf("%s: readiness = %d, want %d", name, state, test.want)
		}
	}
	calls.begin()
	calls.finish(now, newReport(1), blocked, 0)
	if _, state := calls.next(now, testGuard, view); state != readinessReady {
		t.Errorf("readiness after a call blocked by the lease = %d, want %d without backoff", state, readinessReady)
	}
}

func TestDelivery_MarksDeliveredEntries(t *testing.T) {
	calls := newDelivery(testTerm)
	view := newOutboxView(newReport(1), newReport(2), newReport(3), newOrder("up", 4, outbox.PriorityIncrease))
	if marks, since := calls.marks(view); len(marks) != 0 || since != clock.Never {
		t.Errorf("marks without delivered entries: %v since %d", marks, since)
	}
	calls.finish(7, newReport(1), accepted, 0)
	calls.finish(8, newReport(2), accepted, 0)
	calls.finish(9, newOrder("up", 3, outbox.PriorityIncrease), accepted, 0)
	marks, since := calls.marks(view)
	if len(marks) != 1 || marks[0] != newReport(2).Mark() || since != 8 {
		t.Errorf("marks = %v since %d, want report 2 since 8", marks, since)
	}
	if waiting := calls.undelivered(view); len(waiting) != 2 {
		t.Errorf("undelivered entries: got %d, want 2: %v", len(waiting), waiting)
	}
}
