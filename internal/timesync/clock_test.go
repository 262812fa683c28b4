package timesync_test

import (
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/timesync"
)

// ownMachine is a machine's clocks: the monotonic one and the wall clock's error.
type ownMachine struct {
	monotonic clock.Microseconds
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

// hear records the wall clock of a peer that is right, in a call of 2 ms.
func (m *ownMachine) hear(trueTime *timesync.Clock, address string) {
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
		t.Error("it does not start with the own wall clock")
	}
	// Two daemons of one machine, and the own one, are no more than one voter each.
	machine.hear(trueTime, "10.0.0.1:7301")
	machine.hear(trueTime, "10.0.0.2:7300")
	machine.hear(trueTime, "10.0.0.2:7301")
	if trueTime.Estimate().Reliable() {
		t.Error("two machines are called reliable")
	}
	machine.hear(trueTime, "10.0.0.3:7300")
	if !trueTime.Estimate().Reliable() {
		t.Errorf("%+v is not reliable", trueTime.Estimate())
	}
	if off := distance(trueTime.Now(), trueOffset+machine.monotonic); off > 2*clock.Millisecond {
		t.Errorf("off by %v", off)
	}
}

func TestClock_DoesNotJump(t *testing.T) {
	machine := &ownMachine{}
	trueTime := machine.newClock()
	machine.hear(trueTime, "10.0.0.2:7300")
	machine.hear(trueTime, "10.0.0.3:7300")
	machine.hear(trueTime, "10.0.0.4:7300")
	for _, wallError := range []clock.Microseconds{9 * clock.Second, -9 * clock.Second, 0} {
		machine.wallError = wallError
		before := trueTime.Now()
		machine.monotonic += clock.Second
		machine.hear(trueTime, "10.0.0.2:7300")
		passed := trueTime.Now() - before
		if distance(passed, clock.Second+2*clock.Millisecond) > 2*clock.Millisecond {
			t.Errorf("with a wall clock off by %v, %v passed in a second", wallError, passed)
		}
	}
}

// A daemon that restarts while its own clock is wrong knows no more than that clock until it has heard others.
func TestClock_RestartWithWrongClock(t *testing.T) {
	machine := &ownMachine{}
	machine.hear(machine.newClock(), "10.0.0.2:7300")
	machine.wallError = 3 * clock.Second
	restarted := machine.newClock()
	if off := restarted.Now() - trueOffset - machine.monotonic; off != 3*clock.Second {
		t.Errorf("off by %v before anybody was heard", off)
	}
	machine.hear(restarted, "10.0.0.2:7300")
	if estimate := restarted.Estimate(); estimate.Error < 3*clock.Second {
		t.Errorf("%+v, while two clocks contradict each other", estimate)
	}
	machine.hear(restarted, "10.0.0.3:7300")
	if off := distance(restarted.Now(), trueOffset+machine.monotonic); off > 2*clock.Millisecond {
		t.Errorf("off by %v once two others were heard", off)
	}
}
