package timesync_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/clock"
	"coursepass/internal/timesync"
)

// trueOffset is the offset of the true time from the test's monotonic clock.
const trueOffset = 1_800_000_000 * clock.Second

// self is the machine of the estimator under test.
const self = "machine-0"

// machines holds the wall clocks of a fleet, as their deviations from the true time. Index 0 is the estimator's own
// machine.
type machines []clock.Microseconds

func (m machines) name(number int) string { return fmt.Sprint("machine-", number) }

// read records one machine's wall clock in the estimator, for a call that ends now. The response is written at
// answerAfter after the start of the call.
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

// readAll reads the wall clocks of all machines, each in a call of 4 ms whose response is written after 2 ms.
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
		{"all clocks right", machines{0, 0, 0}, 0},
		{"own clock wrong", machines{step, 0, 0}, 0},
		{"one peer wrong", machines{0, -step, 0}, 0},
		{"two of five wrong, in one direction", machines{step, step, 0, 0, 0}, 0},
		{"two of five wrong, in both directions", machines{step, 0, -step, 0, 0}, 0},
		{"the median of different clocks", machines{30_000, -20_000, 10_000, 0, 20_000}, 10_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimator := timesync.NewEstimator(self)
			test.errors.readAll(estimator, clock.Second)
			estimate := estimator.Estimate()
			if off := distance(estimate.Offset, trueOffset+test.want); off > 2*clock.Millisecond {
				t.Errorf("the estimate is off by %v, want at most 2 ms", off)
			}
			if estimate.Voters != len(test.errors) || !estimate.Reliable() {
				t.Errorf("estimate is %+v, want a reliable one from %d voters", estimate, len(test.errors))
			}
		})
	}
}

func TestEstimator_FewMachines(t *testing.T) {
	t.Run("the own clock alone is not reliable", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		machines{clock.Second}.readAll(estimator, clock.Second)
		estimate := estimator.Estimate()
		if estimate.Offset != trueOffset+clock.Second || estimate.Reliable() {
			t.Errorf("estimate is %+v, want the own clock's offset, not reliable", estimate)
		}
	})
	t.Run("with two clocks that differ, the estimate stays unchanged and is not reliable", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		machines{clock.Second, 0}.readAll(estimator, clock.Second)
		estimate := estimator.Estimate()
		if estimate.Offset != trueOffset+clock.Second || estimate.Error < clock.Second || estimate.Reliable() {
			t.Errorf("estimate is %+v, want the own clock's offset with an error of at least 1 s, not reliable", estimate)
		}
	})
	t.Run("a third clock outvotes the wrong one", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		fleet := machines{clock.Second, 0, 0}
		fleet.readAll(estimator, clock.Second)
		if estimate := estimator.Estimate(); estimate.Offset != trueOffset || !estimate.Reliable() {
			t.Errorf("estimate is %+v, want the true offset, reliable", estimate)
		}
	})
	t.Run("with three clocks that all differ, the estimate is the median", func(t *testing.T) {
		estimator := timesync.NewEstimator(self)
		machines{clock.Second, -3 * clock.Second, 0}.readAll(estimator, clock.Second)
		if estimate := estimator.Estimate(); estimate.Offset != trueOffset {
			t.Errorf("estimate is %+v, want the median offset", estimate)
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
				t.Errorf("an unusable exchange was used: estimate is %+v", estimator.Estimate())
			}
			if !estimator.RecordExchange(good) || estimator.Estimate().Voters != 1 {
				t.Errorf("a usable exchange was not used: estimate is %+v", estimator.Estimate())
			}
		})
	}
}

// A reading from a short call is more accurate than one from a long call, so the estimator must keep an earlier reading
// from a short call.
func TestEstimator_KeepsBestReading(t *testing.T) {
	estimator := timesync.NewEstimator(self)
	fleet := machines{0, 0, 0}
	fleet.readAll(estimator, clock.Second)
	for now := 2 * clock.Second; now < 20*clock.Second; now += clock.Second {
		// The responses are written at the end of long calls, so these readings differ from the true offset by half of the
		// round trip.
		fleet.read(estimator, 1, now, 100*clock.Millisecond, 100*clock.Millisecond)
		fleet.read(estimator, 2, now, 100*clock.Millisecond, 100*clock.Millisecond)
		fleet.read(estimator, 0, now, 0, 0)
	}
	if estimate := estimator.Estimate(); distance(estimate.Offset, trueOffset) > 3*clock.Millisecond {
		t.Errorf("the estimate is off by %v, want at most 3 ms", estimate.Offset-trueOffset)
	}
}

// Maximum absolute values that TestEstimator_ErrorIsBounded draws: the deviation of a right clock, the round trip, and
// the error of a wrong clock.
const (
	drawnDeviation = 20 * clock.Millisecond
	drawnRoundTrip = 200 * clock.Millisecond
	drawnError     = 20 * clock.Second
)

// drawnFleet is a fleet in which a randomly drawn minority of the clocks is wrong.
type drawnFleet struct {
	*rapid.T
	machines
	estimator *timesync.Estimator
	now       clock.Microseconds
	isWrong   []bool
	wasRead   map[int]bool
}

func drawFleet(t *rapid.T) *drawnFleet {
	count := rapid.IntRange(3, 12).Draw(t, "machines")
	fleet := &drawnFleet{
		T:         t,
		machines:  make(machines, count),
		estimator: timesync.NewEstimator(self),
		now:       clock.Second,
		isWrong:   make([]bool, count),
		wasRead:   map[int]bool{},
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

// readClock reads a machine's clock. A wrong clock shows a newly drawn time at each reading.
func (f *drawnFleet) readClock(number int) {
	if f.isWrong[number] {
		f.machines[number] = f.duration(2*drawnError, "wrong by") - drawnError
	}
	roundTrip := f.duration(drawnRoundTrip, "round trip")
	f.read(f.estimator, number, f.now, roundTrip, f.duration(roundTrip, "answer after"))
	f.wasRead[number] = true
}

// mostAreRight reports whether a majority of the clocks that were read are right.
func (f *drawnFleet) mostAreRight() bool {
	wrong := 0
	for number := range f.wasRead {
		if f.isWrong[number] {
			wrong++
		}
	}
	return 2*wrong < len(f.wasRead)
}

// The error of an estimate must not exceed the estimate's Error plus the deviation of right clocks. This must hold for
// any times shown by a minority of the clocks, any durations of the calls, and any times at which the responses are
// written.
func TestEstimator_ErrorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawFleet(t)
		for range rapid.IntRange(1, 60).Draw(t, "readings") {
			fleet.now += fleet.duration(clock.Second, "pause")
			fleet.readClock(rapid.IntRange(0, len(fleet.machines)-1).Draw(t, "machine"))
			estimate := fleet.estimator.Estimate()
			off := distance(estimate.Offset, trueOffset)
			if fleet.mostAreRight() && off > estimate.Error+drawnDeviation {
				t.Fatalf("the estimate is off by %v, want at most its error %v plus the deviation %v", off, estimate.Error, drawnDeviation)
			}
		}
		for number := range fleet.machines {
			fleet.readClock(number)
		}
		if off := distance(fleet.estimator.Estimate().Offset, trueOffset); off > drawnRoundTrip+drawnDeviation {
			t.Errorf("after all %d clocks were read, the estimate is off by %v", len(fleet.machines), off)
		}
	})
}

// Clocks that have jumped must have no vote while at least three clocks have not jumped, so that the estimate stays
// right even if a majority of the clocks jumps.
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
				t.Fatalf("the estimate is off by %v, want at most 10 ms and reliable: %+v", off, estimate)
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
			t.Fatalf("estimate has %d voters, want at most 64", voters)
		}
	}
	// Readings older than the maximum age are removed. Only the own clock is read again.
	machines{0}.readAll(estimator, 1000*clock.Second)
	if voters := estimator.Estimate().Voters; voters != 1 {
		t.Errorf("estimate has %d voters after all other readings expired, want 1", voters)
	}
}
