package usage_test

import (
	"fmt"
	"reflect"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/usage"
)

var windows = usage.Windows{Length: 5 * clock.Second}

func TestWindows_BoundariesBelongToLaterWindow(t *testing.T) {
	for _, test := range []struct {
		at   clock.Microseconds
		want uint64
	}{
		{-1, 0},
		{0, 0},
		{5*clock.Second - 1, 0},
		{5 * clock.Second, 1},
		{1_767_225_600 * clock.Second, 353_445_120},
	} {
		if window := windows.At(test.at); window != test.want {
			t.Errorf("%v is in window %d, want %d", test.at, window, test.want)
		}
	}
	if end := windows.End(1); end != 10*clock.Second {
		t.Errorf("window 1 ends at %v, want 10 s", end)
	}
}

// meteredRouter is a meter whose clock is set by the test.
type meteredRouter struct {
	*usage.Meter
	now clock.Microseconds
}

func newMeteredRouter() *meteredRouter {
	router := &meteredRouter{now: 500 * clock.Second}
	router.Meter = usage.NewMeter(windows, func() clock.Microseconds { return router.now })
	return router
}

// requireChanges checks the counts that changed after version since, and returns the current version.
func (m *meteredRouter) requireChanges(t *testing.T, since uint64, want map[uint64]usage.Counts) uint64 {
	t.Helper()
	changes, version := m.ChangesSince(since)
	if !reflect.DeepEqual(changes, want) {
		t.Errorf("changes since version %d are %v, want %v", since, changes, want)
	}
	return version
}

func TestMeter_ReportsWhatHasChanged(t *testing.T) {
	router := newMeteredRouter()
	none := map[uint64]usage.Counts{}
	router.requireChanges(t, 0, none)
	router.RecordRun("a")
	router.RecordRun("a")
	router.RecordRun("b")
	router.RecordRun("")
	version := router.requireChanges(t, 0, map[uint64]usage.Counts{100: {"a": 2, "b": 1}})
	router.requireChanges(t, version, none)
	router.RecordRun("b")
	router.now += 5 * clock.Second
	router.RecordRun("a")
	router.requireChanges(t, version, map[uint64]usage.Counts{100: {"b": 2}, 101: {"a": 1}})
	router.requireChanges(t, 0, map[uint64]usage.Counts{100: {"a": 2, "b": 2}, 101: {"a": 1}})
}

func TestMeter_SignalsChanges(t *testing.T) {
	router := newMeteredRouter()
	select {
	case <-router.Changed():
		t.Error("an empty meter signaled a change")
	default:
	}
	router.RecordRun("a")
	router.RecordRun("a")
	<-router.Changed()
	select {
	case <-router.Changed():
		t.Error("the meter signaled two changes twice, want once")
	default:
	}
}

func TestMeter_DeletesOldWindows(t *testing.T) {
	router := newMeteredRouter()
	for range 10 {
		router.RecordRun("a")
		router.now += 5 * clock.Second
	}
	changes, _ := router.ChangesSince(0)
	if _, held := changes[105]; len(changes) != 5 || !held {
		t.Errorf("after ten windows the meter has %v, want 5 windows including window 105", changes)
	}
	router.now += 60 * clock.Second
	router.requireChanges(t, 0, map[uint64]usage.Counts{})
	if !router.IsEmpty() {
		t.Error("the meter is not empty after a long time without requests")
	}
}

// A wrong estimate of the time can create a window in the future. The meter must delete such a window and must retain
// the correct ones.
func TestMeter_ForgetsWindowsInTheFuture(t *testing.T) {
	router := newMeteredRouter()
	router.now += 1000 * clock.Second
	router.RecordRun("a")
	router.now -= 1000 * clock.Second
	router.RecordRun("a")
	router.requireChanges(t, 0, map[uint64]usage.Counts{100: {"a": 1}})
}

func TestMeter_IsBounded(t *testing.T) {
	router := newMeteredRouter()
	for number := range 70_000 {
		router.RecordRun(fmt.Sprint("tenant-", number))
	}
	changes, _ := router.ChangesSince(0)
	counted := len(changes[100])
	if counted >= 70_000 || counted+int(router.Dropped.Load()) != 70_000 {
		t.Errorf("%d requests counted, %d dropped, want some dropped and 70000 in total", counted, router.Dropped.Load())
	}
}
