package messageage

import "coursepass/internal/clock"

const (
	// estimateWindow is the duration of a window. Each window keeps the best of the readings
	// recorded in it.
	estimateWindow = 30 * clock.Second
	// windowCount is the number of windows that an estimate uses: the current one and the one
	// before.
	windowCount = 2
	// maxDriftDivisor is the reciprocal of the maximum drift between two clocks: 1/2000 is 500 ppm.
	maxDriftDivisor = 2000
)

// ClockReading is the receiver's clock at the time at which it answered.
type ClockReading struct {
	Incarnation uint64
	Clock       clock.Microseconds
}

// offsetBound is a lower bound of the difference between the receiver's clock and the local clock,
// as measured at a local time.
type offsetBound struct {
	offset     clock.Microseconds
	measuredAt clock.Microseconds
	valid      bool
}

// at returns the bound at a later time, reduced by the maximum drift of the clocks since the
// measurement.
func (o offsetBound) at(now clock.Microseconds) clock.Microseconds {
	return o.offset - (now-o.measuredAt)/maxDriftDivisor
}

// Estimator estimates the clock of one receiver. A reading is taken before the answer that contains
// it arrives, so the reading minus the local time of arrival never exceeds the actual difference
// between the clocks. Estimator keeps the greatest of these lower bounds for each of the last
// windows. The zero value is ready for use.
type Estimator struct {
	incarnation uint64
	windowStart clock.Microseconds
	// offsetBounds holds the bounds of the current window and of the one before, in this order.
	offsetBounds [windowCount]offsetBound
}

// RecordReading records a reading that arrived at now. The first reading of another incarnation
// discards all earlier readings.
func (e *Estimator) RecordReading(now clock.Microseconds, reading ClockReading) {
	if reading.Incarnation != e.incarnation {
		*e = Estimator{incarnation: reading.Incarnation, windowStart: now}
	}
	e.rotateWindow(now)
	measured := offsetBound{offset: reading.Clock - now, measuredAt: now, valid: true}
	current := &e.offsetBounds[0]
	if !current.valid || measured.offset > current.at(now) {
		*current = measured
	}
}

// Stamp returns the stamp of a message that is sent at now.
func (e *Estimator) Stamp(now clock.Microseconds) Stamp {
	e.rotateWindow(now)
	stamp := Stamp{Incarnation: e.incarnation}
	for _, bound := range e.offsetBounds {
		if !bound.valid {
			continue
		}
		sentAt := now + bound.at(now)
		if !stamp.Known || sentAt > stamp.Sent {
			stamp.Sent = sentAt
			stamp.Known = true
		}
	}
	return stamp
}

// rotateWindow begins a new window if the current one is over.
func (e *Estimator) rotateWindow(now clock.Microseconds) {
	elapsed := now - e.windowStart
	if elapsed < estimateWindow {
		return
	}
	e.offsetBounds[1] = e.offsetBounds[0]
	if elapsed >= windowCount*estimateWindow {
		e.offsetBounds[1] = offsetBound{}
	}
	e.offsetBounds[0] = offsetBound{}
	e.windowStart = now
}
