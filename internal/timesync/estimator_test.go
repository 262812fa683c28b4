package timesync_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/clock"
	"coursepass/internal/timesync"
)

// trueOffset turns a moment of the test's monotonic clock into the true time.
const trueOffset = 1_800_000_000 * clock.Second

const self = "machine-0"

// machines are the wall clocks of a fleet, as their errors against the true time. The first one is the own one.
type machines []clock.Microseconds

func (m machines) name(number int) string { return fmt.Sprint("machine-", number) }

// read has the estimator read one machine's wall clock in a call that ends now. The answer is written after a
// part of the round trip.
func (m machines) read(estimator *timesync.Estimator, number int, now, roundTrip, answerAfter clock.Microseconds) {
	if number == 0 {
		estimator.RecordOwn(now, now+trueOffset+m[0])
		return
	}
	sentAt := now - roundTrip
	estimator.RecordExchange(timesync.Exchange{
		Machine:    m.name(number),
		SentAt:     sentAt,
		ReceivedAt: now,
		WallClock:  sentAt + answerAfter + trueOffset + m[number],
	})
}

// readAll reads all machines' clocks, each in a call of 4 ms whose answer is written in its middle.
func (m machines) readAll(estimator *timesync.Estimator, now clock.Microseconds) {
	for number := range m {
		m.read(estimator, number, now, 4*clock.Millisecond, 2*clock.Millisecond)
	}
}

func distance(left, right clock.Microseconds) clock.Microseconds { return max(left-right, right-left) }

func TestEstimator_OutvotesMinority(t *testing.T) {
	step := 7 * clock.Second
	for _, test := range []struct {
		name   string
		errors machines
		want   clock.Microseconds
	}{
		{"all right", machines{0, 0, 0}, 0},
		{"own clock wrong", machines{step, 0, 0}, 0},
		{"one peer wrong", machines{0, -step, 0}, 0},
		{"two of five wrong, in one direction", machines{step, step, 0, 0, 0}, 0},
		{"two of five wrong, in both directions", machines{step, 0, -step, 0, 0}, 0},
		{"the middle one of different clocks", machines{30_000, -20_000, 10_000, 0, 20_000}, 10_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimator := timesync.NewEstimator(self)
			test.errors.readAll(estimator, clock.Second)
			estimate := estimator.Estimate()
			if off := distance(estimate.Offset, trueOffset+test.want); off > 2*clock.Millisecond {
				t.Errorf("the estimate is off by %v", off)
			}
			if estimate.Voters != len(test.errors) || !estimate.Reliable() {
				t.Errorf("%+v is not reliable, or not of %d voters", estimate, len(test.errors))
			}
		})
	}
}

func TestEstimator_FewMachines(t *testing.T) {
	t.Run("the own clock alone", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		machines{clock.Second}.readAll(estimator, clock.Second)
		estimate := estimator.Estimate()
		if estimate.Offset != trueOffset+clock.Second || estimate.Reliable() {
			t.Errorf("%+v", estimate)
		}
	})
	t.Run("of two that differ, the estimate stays where it was and says so", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		machines{clock.Second, 0}.readAll(estimator, clock.Second)
		estimate := estimator.Estimate()
		if estimate.Offset != trueOffset+clock.Second || estimate.Error < clock.Second || estimate.Reliable() {
			t.Errorf("%+v", estimate)
		}
	})
	t.Run("a third one decides", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		fleet := machines{clock.Second, 0, 0}
		fleet.readAll(estimator, clock.Second)
		if estimate := estimator.Estimate(); estimate.Offset != trueOffset || !estimate.Reliable() {
			t.Errorf("%+v", estimate)
		}
	})
	t.Run("three that all differ are not reliable", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		machines{clock.Second, -3 * clock.Second, 0}.readAll(estimator, clock.Second)
		if estimate := estimator.Estimate(); estimate.Offset != trueOffset {
			t.Errorf("%+v", estimate)
		}
	})
}

func TestEstimator_IgnoresUselessExchanges(t *testing.T) {
	good := timesync.Exchange{Machine: "peer", SentAt: clock.Second, ReceivedAt: clock.Second + 1000, WallClock: trueOffset}
	for _, test := range []struct {
		name   string
		change func(*timesync.Exchange)
	}{
		{"without a wall clock", func(exchange *timesync.Exchange) { exchange.WallClock = 0 }},
		{"without a machine", func(exchange *timesync.Exchange) { exchange.Machine = "" }},
		{"with the own machine", func(exchange *timesync.Exchange) { exchange.Machine = self }},
		{"that took long", func(exchange *timesync.Exchange) { exchange.ReceivedAt += clock.Second }},
		{"that ended before it began", func(exchange *timesync.Exchange) { exchange.ReceivedAt = 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimator := timesync.NewEstimator(self)
			exchange := good
			test.change(&exchange)
			if estimator.RecordExchange(exchange) || estimator.Estimate().Voters != 0 {
				t.Errorf("used, %+v", estimator.Estimate())
			}
			if !estimator.RecordExchange(good) || estimator.Estimate().Voters != 1 {
				t.Error("a useful exchange is not used")
			}
		})
	}
}

// A short call shows more than a long one, also if it was earlier.
func TestEstimator_KeepsBestReading(t *testing.T) {
	estimator := timesync.NewEstimator(self)
	fleet := machines{0, 0, 0}
	fleet.readAll(estimator, clock.Second)
	for now := 2 * clock.Second; now < 20*clock.Second; now += clock.Second {
		// The answers are written at the end of long calls, which looks like clocks that are late.
		fleet.read(estimator, 1, now, 100*clock.Millisecond, 100*clock.Millisecond)
		fleet.read(estimator, 2, now, 100*clock.Millisecond, 100*clock.Millisecond)
		fleet.read(estimator, 0, now, 0, 0)
	}
	if estimate := estimator.Estimate(); distance(estimate.Offset, trueOffset) > 3*clock.Millisecond {
		t.Errorf("the estimate is off by %v", estimate.Offset-trueOffset)
	}
}

// The sizes of what TestEstimator_ErrorIsBounded draws.
const (
	drawnDeviation = 20 * clock.Millisecond
	drawnRoundTrip = 200 * clock.Millisecond
	drawnError     = 20 * clock.Second
)

// drawnFleet is a fleet in which a minority of the clocks shows anything.
type drawnFleet struct {
	*rapid.T
	machines
	estimator *timesync.Estimator
	now       clock.Microseconds
	isWrong   []bool
	heard     map[int]bool
}

func drawFleet(t *rapid.T) *drawnFleet {
	count := rapid.IntRange(3, 12).Draw(t, "machines")
	fleet := &drawnFleet{
		T:         t,
		machines:  make(machines, count),
		estimator: timesync.NewEstimator(self),
		now:       clock.Second,
		isWrong:   make([]bool, count),
		heard:     map[int]bool{},
	}
	for range rapid.IntRange(0, (count-1)/2).Draw(t, "wrong") {
		fleet.isWrong[rapid.IntRange(0, count-1).Draw(t, "wrong machine")] = true
	}
	for number := range fleet.machines {
		fleet.machines[number] = fleet.duration(2*drawnDeviation, "deviation") - drawnDeviation
	}
	return fleet
}

func (f *drawnFleet) duration(most clock.Microseconds, label string) clock.Microseconds {
	return clock.Microseconds(rapid.Int64Range(0, int64(most)).Draw(f.T, label))
}

// readClock reads a clock; a wrong one shows something else each time.
func (f *drawnFleet) readClock(number int) {
	if f.isWrong[number] {
		f.machines[number] = f.duration(2*drawnError, "wrong by") - drawnError
	}
	roundTrip := f.duration(drawnRoundTrip, "round trip")
	f.read(f.estimator, number, f.now, roundTrip, f.duration(roundTrip, "answer after"))
	f.heard[number] = true
}

// mostAreRight reports whether the majority of the clocks that were read is right.
func (f *drawnFleet) mostAreRight() bool {
	wrong := 0
	for number := range f.heard {
		if f.isWrong[number] {
			wrong++
		}
	}
	return 2*wrong < len(f.heard)
}

// Whatever a minority of the clocks shows, however long the calls take and at whatever moment in them the answers
// are written, the estimate is as near to the true time as it says.
func TestEstimator_ErrorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawFleet(t)
		for range rapid.IntRange(1, 60).Draw(t, "readings") {
			fleet.now += fleet.duration(clock.Second, "pause")
			fleet.readClock(rapid.IntRange(0, len(fleet.machines)-1).Draw(t, "machine"))
			estimate := fleet.estimator.Estimate()
			off := distance(estimate.Offset, trueOffset)
			if fleet.mostAreRight() && off > estimate.Error+drawnDeviation {
				t.Fatalf("off by %v, more than %v and a deviation of %v", off, estimate.Error, drawnDeviation)
			}
		}
		for number := range fleet.machines {
			fleet.readClock(number)
		}
		if off := distance(fleet.estimator.Estimate().Offset, trueOffset); off > drawnRoundTrip+drawnDeviation {
			t.Errorf("off by %v with %d machines", off, len(fleet.machines))
		}
	})
}

// Clocks that have jumped have no vote as long as three others have not, so that a majority may jump.
func TestEstimator_IgnoresClocksThatJumped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := make(machines, rapid.IntRange(4, 12).Draw(t, "machines"))
		estimator := timesync.NewEstimator(self)
		now := clock.Second
		fleet.readAll(estimator, now)
		steady := 3
		for range rapid.IntRange(1, 30).Draw(t, "jumps") {
			now += clock.Microseconds(rapid.Int64Range(0, int64(5*clock.Second)).Draw(t, "pause"))
			number := rapid.IntRange(0, len(fleet)-steady-1).Draw(t, "machine")
			by := clock.Microseconds(rapid.Int64Range(200, 10_000).Draw(t, "jumps by")) * clock.Millisecond
			if rapid.Bool().Draw(t, "backwards") {
				by = -by
			}
			fleet[number] += by
			fleet.readAll(estimator, now)
			estimate := estimator.Estimate()
			if off := distance(estimate.Offset, trueOffset); off > 10*clock.Millisecond || !estimate.Reliable() {
				t.Fatalf("off by %v: %+v", off, estimate)
			}
		}
	})
}

func TestEstimator_IsBounded(t *testing.T) {
	estimator := timesync.NewEstimator(self)
	fleet := make(machines, 500)
	for round := range 3 {
		fleet.readAll(estimator, clock.Microseconds(round+1)*clock.Second)
		if voters := estimator.Estimate().Voters; voters > 64 {
			t.Fatalf("%d voters", voters)
		}
	}
	// Clocks that were not read for long are forgotten; the own one is read again.
	machines{0}.readAll(estimator, 1000*clock.Second)
	if voters := estimator.Estimate().Voters; voters != 1 {
		t.Errorf("%d voters after a long silence", voters)
	}
}
