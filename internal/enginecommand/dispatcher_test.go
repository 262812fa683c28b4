package enginecommand

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

var errPostFailed = errors.New("post failed")

// dispatcherFixture contains a dispatcher whose Post blocks until finish is called.
type dispatcherFixture struct {
	*Dispatcher
	lease    *LeaseGuard
	results  chan error
	commands chan Command
}

func newDispatcherFixture(t *testing.T) *dispatcherFixture {
	t.Helper()
	testClock := clock.New()
	lease := &LeaseGuard{Term: 1, NotAfter: testClock.Now() + 600*clock.Second}
	var leasePointer atomic.Pointer[LeaseGuard]
	leasePointer.Store(lease)
	fixture := &dispatcherFixture{lease: lease, results: make(chan error), commands: make(chan Command, 8)}
	fixture.Dispatcher = NewDispatcher(Options{
		Leader:    "leader",
		Timeout:   60 * clock.Second,
		Clock:     testClock,
		Lease:     &leasePointer,
		Transport: transport.Options{Network: transport.SystemNetwork},
	})
	fixture.Post = func(_ context.Context, _ *http.Client, command Command, _ string) error {
		fixture.commands <- command
		return <-fixture.results
	}
	return fixture
}

// ensureRole calls EnsureState with a report of the engine's incarnation and the role as desired state.
func (d *dispatcherFixture) ensureRole(t *testing.T, incarnation, role string) {
	t.Helper()
	report := registry.Report{Name: "engine", Service: "service", Incarnation: incarnation, Address: "10.0.0.1:1"}
	d.EnsureState(t.Context(), d.lease, report, DesiredState{Role: role})
}

// finish makes the post of the command in flight return the result, and waits until its record is no longer in flight.
func (d *dispatcherFixture) finish(t *testing.T, result error) Command {
	t.Helper()
	command := <-d.commands
	d.results <- result
	for {
		d.lock.Lock()
		inFlight := d.records["engine"].inFlight
		d.lock.Unlock()
		if !inFlight {
			return command
		}
	}
}

func TestDispatcher_OneCommandInFlight(t *testing.T) {
	fixture := newDispatcherFixture(t)
	fixture.ensureRole(t, "1", "prefill")
	fixture.ensureRole(t, "1", "decode")
	if sent := fixture.lastCommandID; sent != 1 {
		t.Errorf("%d commands sent while one is in flight, want 1", sent)
	}
	fixture.finish(t, nil)
	fixture.ensureRole(t, "1", "decode")
	command := fixture.finish(t, nil)
	if command.CommandID != 2 || command.Role != "decode" || command.Term != 1 || command.Leader != "leader" {
		t.Errorf("command %+v, want ID 2, role decode, term 1 and leader \"leader\"", command)
	}
}

func TestDispatcher_RepeatsUntilAcknowledged(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		result  error
		change  func(*dispatcherFixture)
		repeats bool
	}{
		{"acknowledged", nil, func(*dispatcherFixture) {}, false},
		{"failed", errPostFailed, func(*dispatcherFixture) {}, true},
		{"in a new term", nil, func(fixture *dispatcherFixture) { fixture.lease.Term++ }, true},
		{"forgotten", nil, func(fixture *dispatcherFixture) { fixture.Forget("engine") }, true},
		{"without a lease", errPostFailed, func(fixture *dispatcherFixture) { fixture.lease = nil }, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newDispatcherFixture(t)
			fixture.ensureRole(t, "1", "prefill")
			fixture.finish(t, testCase.result)
			testCase.change(fixture)
			fixture.ensureRole(t, "1", "prefill")
			repeated := fixture.lastCommandID == 2
			if repeated != testCase.repeats {
				t.Errorf("repeated: %t, want %t", repeated, testCase.repeats)
			}
			if repeated {
				fixture.finish(t, nil)
			}
		})
	}
}

func TestDispatcher_CommandsNewIncarnation(t *testing.T) {
	fixture := newDispatcherFixture(t)
	fixture.ensureRole(t, "1", "prefill")
	fixture.finish(t, nil)
	fixture.ensureRole(t, "2", "prefill")
	if command := fixture.finish(t, nil); command.CommandID != 2 {
		t.Errorf("command ID %d, want 2", command.CommandID)
	}
}

func TestLeaseGuard_Covers(t *testing.T) {
	lease := &LeaseGuard{NotBefore: 10, NotAfter: 20}
	for _, testCase := range []struct {
		name  string
		lease *LeaseGuard
		now   clock.Microseconds
		want  bool
	}{
		{"no lease", nil, 12, false},
		{"before", lease, 9, false},
		{"from its start", lease, 10, true},
		{"ends within", lease, 14, true},
		{"ends with it", lease, 15, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			if got := testCase.lease.Covers(testCase.now, 5); got != testCase.want {
				t.Errorf("covers: %t, want %t", got, testCase.want)
			}
		})
	}
}
