package timesync_test

import (
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/timesync"
)

// ownMachine simulates the clocks of the machine under test.
type ownMachine struct {
	// monotonic is the time of the monotonic clock.
	monotonic clock.Microseconds
	// wallError is the wall clock's deviation from the true time.
	wallError clock.Microseconds
}

func (m *ownMachine) newClock() *timesync.Clock {
	origin := m.monotonic
	wallClock := func() time.Time {
		return time.UnixMicro(int64(trueOffset + m.monotonic + m.wallError))
	}
	source := clock.NewFromSource(func() clock.Microseconds { return m.monotonic - origin })
	return timesync.NewClock("10.0.0.1:7300", source, wallClock)
}

// readPeer records the wall clock of a peer, read in a call of 2 ms. The peer's wall clock shows the true time.
func (m *ownMachine) readPeer(trueTime *timesync.Clock, address string) {
	sentAt := trueTime.Monotonic()
	m.monotonic += clock.Millisecond
	wallClock := trueOffset + m.monotonic
	m.monotonic += clock.Millisecond
	trueTime.RecordAnswer(address, sentAt, wallClock)
}

func TestClock_FollowsOthersWhenOwnClockIsWrong(t *testing.T) {
	machine := &ownMachine{monotonic: 5 * clock.Second, wallError: -4 * clock.Second}
	trueTime := machine.newClock()
	if trueTime.Now() != trueTime.WallClock() {
		t.Errorf("the first estimate is %v, want the machine's own wall clock %v", trueTime.Now(), trueTime.WallClock())
	}
	// Each machine has one vote, even if several of its daemons are read. The first
	// address is another daemon on the machine under test.
	machine.readPeer(trueTime, "10.0.0.1:7301")
	machine.readPeer(trueTime, "10.0.0.2:7300")
	machine.readPeer(trueTime, "10.0.0.2:7301")
	if trueTime.Estimate().Reliable() {
		t.Errorf("estimate %+v of two machines is reliable", trueTime.Estimate())
	}
	machine.readPeer(trueTime, "10.0.0.3:7300")
	if !trueTime.Estimate().Reliable() {
		t.Errorf("estimate %+v of three machines is not reliable", trueTime.Estimate())
	}
	if off := distance(trueTime.Now(), trueOffset+machine.monotonic); off > 2*clock.Millisecond {
		t.Errorf("the estimated time is off by %v, want at most 2 ms", off)
	}
}

func TestClock_DoesNotJump(t *testing.T) {
	machine := &ownMachine{}
	trueTime := machine.newClock()
	machine.readPeer(trueTime, "10.0.0.2:7300")
	machine.readPeer(trueTime, "10.0.0.3:7300")
	machine.readPeer(trueTime, "10.0.0.4:7300")
	for _, wallError := range []clock.Microseconds{9 * clock.Second, -9 * clock.Second, 0} {
		machine.wallError = wallError
		before := trueTime.Now()
		machine.monotonic += clock.Second
		machine.readPeer(trueTime, "10.0.0.2:7300")
		passed := trueTime.Now() - before
		if distance(passed, clock.Second+2*clock.Millisecond) > 2*clock.Millisecond {
			t.Errorf("wall clock off by %v: the estimated time advanced by %v in 1.002 s", wallError, passed)
		}
	}
}

// A daemon that restarts while its machine's wall clock is wrong has only that clock until it has read the wall clocks
// of other machines. The test checks that the error is reported and then corrected.
func TestClock_RestartWithWrongClock(t *testing.T) {
	machine := &ownMachine{}
	machine.readPeer(machine.newClock(), "10.0.0.2:7300")
	machine.wallError = 3 * clock.Second
	restarted := machine.newClock()
	if off := restarted.Now() - trueOffset - machine.monotonic; off != 3*clock.Second {
		t.Errorf("before any peer was read, the estimated time is off by %v, want 3 s", off)
	}
	machine.readPeer(restarted, "10.0.0.2:7300")
	if estimate := restarted.Estimate(); estimate.Error < 3*clock.Second {
		t.Errorf("estimate %+v from two contradictory clocks has an error below 3 s", estimate)
	}
	machine.readPeer(restarted, "10.0.0.3:7300")
	if off := distance(restarted.Now(), trueOffset+machine.monotonic); off > 2*clock.Millisecond {
		t.Errorf("after two peers were read, the estimated time is off by %v, want at most 2 ms", off)
	}
}
