package messageage_test

import (
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/messageage"
)

// maxDriftDivisor is the reciprocal of the drift of the simulated receiver's clock: 1/2000 is 500
// ppm, the maximum.
const maxDriftDivisor = 2000

// receiver is a daemon whose clock has another origin and another speed than the clock of the
// sender. The sender's clock shows the true time in these tests.
type receiver struct {
	incarnation uint64
	origin      clock.Microseconds
	// driftDivisor is the reciprocal of the clock's drift. The clock is fast if it is positive, and
	// slow if it is negative.
	driftDivisor clock.Microseconds
}

func (r receiver) clockAt(now clock.Microseconds) clock.Microseconds {
	return r.origin + now + now/r.driftDivisor
}

func (r receiver) readingAt(now clock.Microseconds) messageage.ClockReading {
	return messageage.ClockReading{Incarnation: r.incarnation, Clock: r.clockAt(now)}
}

// Guards against an age that is lower than the actual age of a message, for random delays and the
// maximum drift.
func TestStamp_NeverUnderestimatesAge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		randomDelay := func() clock.Microseconds {
			return clock.Microseconds(random.Int64N(int64(2 * clock.Second)))
		}
		peer := receiver{incarnation: 1, origin: 1000 * randomDelay(), driftDivisor: maxDriftDivisor}
		if seed%2 == 1 {
			peer.driftDivisor = -maxDriftDivisor
		}
		estimator := &messageage.Estimator{}
		known := 0
		for now := clock.Second; now < 200*clock.Second; now += randomDelay() {
			if random.IntN(2) == 0 {
				readAt := now - min(now, randomDelay())
				estimator.RecordReading(now, peer.readingAt(readAt))
			}
			stamp := estimator.Stamp(now)
			delay := randomDelay()
			age, ok := stamp.Age(peer.clockAt(now+delay), peer.incarnation)
			if !ok {
				continue
			}
			known++
			// Like the estimate, the actual age is measured on the receiver's clock.
			actual := peer.clockAt(now+delay) - peer.clockAt(now)
			if age < actual {
				t.Fatalf("seed %d: the age of a message is %d µs, but the estimated upper bound is %d µs", seed, actual, age)
			}
		}
		if known < 50 {
			t.Errorf("seed %d: the age of only %d messages was known, want at least 50", seed, known)
		}
	}
}

func TestStamp_AgeIsUnknownWithoutReading(t *testing.T) {
	estimator := &messageage.Estimator{}
	if _, ok := estimator.Stamp(clock.Second).Age(clock.Second, 0); ok {
		t.Error("the age is known without any reading")
	}
	peer := receiver{incarnation: 1, driftDivisor: maxDriftDivisor}
	estimator.RecordReading(clock.Second, peer.readingAt(clock.Second))
	stamp := estimator.Stamp(2 * clock.Second)
	if _, ok := stamp.Age(2*clock.Second, 1); !ok {
		t.Error("the age is unknown after a reading")
	}
	if _, ok := stamp.Age(2*clock.Second, 2); ok {
		t.Error("the age is known for another incarnation than that of the reading")
	}
	if _, ok := estimator.Stamp(62*clock.Second).Age(62*clock.Second, 1); ok {
		t.Error("the age is known from a reading that is two windows old")
	}
}

func TestEstimator_ForgetsEarlierIncarnation(t *testing.T) {
	estimator := &messageage.Estimator{}
	earlier := receiver{incarnation: 1, origin: 1000 * clock.Second, driftDivisor: maxDriftDivisor}
	current := receiver{incarnation: 2, driftDivisor: maxDriftDivisor}
	estimator.RecordReading(clock.Second, earlier.readingAt(clock.Second))
	estimator.RecordReading(2*clock.Second, current.readingAt(2*clock.Second))
	stamp := estimator.Stamp(3 * clock.Second)
	if stamp.Incarnation != current.incarnation || stamp.Sent > current.clockAt(3*clock.Second) {
		t.Errorf("the stamp %+v uses a clock reading of an earlier incarnation", stamp)
	}
}
