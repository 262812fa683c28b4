// Package messageage judges the age of messages between two machines on their
// monotonic clocks, which share no start.
package messageage

import "coursepass/internal/clock"

// Stamp goes with a message. Sent is a lower bound of the sending moment on the
// receiver's own clock; Incarnation names the receiver's life that clock is of.
type Stamp struct {
	Incarnation uint64
	Sent        clock.Microseconds
	Known       bool
}

// ClockReading is what the other side's clock showed when it answered.
type ClockReading struct {
	Incarnation uint64
	Clock       clock.Microseconds
}

const (
	estimateWindow = 30 * clock.Second
	// maxDriftDivisor is the most that two clocks may part, as one in so many: 500 ppm.
	maxDriftDivisor = 2000
)

type offsetBound struct {
	offset     clock.Microseconds
	measuredAt clock.Microseconds
	valid      bool
}

func (o offsetBound) lowerBoundAt(now clock.Microseconds) clock.Microseconds {
	return o.offset - (now-o.measuredAt)/maxDriftDivisor
}

// Estimator is the sender's knowledge of one receiver's clock. The other side's
// answer showed its clock before the answer arrived here, so that clock minus our
// time of arrival never overstates the difference. The best bound of the last two
// windows is kept, less what clocks may have drifted since.
type Estimator struct {
	incarnation  uint64
	windowStart  clock.Microseconds
	offsetBounds [2]offsetBound
}

// RecordReading takes a reading that arrived now.
func (e *Estimator) RecordReading(now clock.Microseconds, reading ClockReading) {
	if reading.Incarnation != e.incarnation {
		*e = Estimator{incarnation: reading.Incarnation, windowStart: now}
	}
	e.rotateWindow(now)
	measured := offsetBound{reading.Clock - now, now, true}
	if current := e.offsetBounds[0]; !current.valid || measured.offset > current.lowerBoundAt(now) {
		e.offsetBounds[0] = measured
	}
}

func (e *Estimator) rotateWindow(now clock.Microseconds) {
	if elapsed := now - e.windowStart; elapsed >= estimateWindow {
		e.offsetBounds[1] = e.offsetBounds[0]
		if elapsed >= 2*estimateWindow {
			e.offsetBounds[1] = offsetBound{}
		}
		e.offsetBounds[0], e.windowStart = offsetBound{}, now
	}
}

// Stamp marks a message that is sent now.
func (e *Estimator) Stamp(now clock.Microseconds) Stamp {
	e.rotateWindow(now)
	stamp := Stamp{Incarnation: e.incarnation}
	for _, estimate := range e.offsetBounds {
		if sentAt := now + estimate.lowerBoundAt(now); estimate.valid && (!stamp.Known || sentAt > stamp.Sent) {
			stamp.Sent, stamp.Known = sentAt, true
		}
	}
	return stamp
}

// Age is an upper bound of a message's age, as its receiver sees it; false when
// it can't be judged.
func (s Stamp) Age(now clock.Microseconds, incarnation uint64) (clock.Microseconds, bool) {
	if !s.Known || s.Incarnation != incarnation {
		return 0, false
	}
	return now - s.Sent, true
}
