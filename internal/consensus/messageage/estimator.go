package messageage

import "coursepass/internal/clock"

const (
	// estimateWindow is how long readings are collected before the best of them is set aside.
	estimateWindow = 30 * clock.Second
	// keptWindows is how many windows count: the current one and the one before.
	keptWindows = 2
	// maxDriftDivisor bounds the drift between two clocks: 1/2000 is 500 ppm.
	maxDriftDivisor = 2000
)

// ClockReading is what a receiver's clock showed when it answered.
type ClockReading struct {
	Incarnation uint64
	Clock       clock.Microseconds
}

// offsetBound is a lower bound of the receiver's clock minus the local clock, as measured at a
// local time.
type offsetBound struct {
	offset     clock.Microseconds
	measuredAt clock.Microseconds
	valid      bool
}

// at returns the bound at a later time, less what the clocks may have drifted apart since.
func (o offsetBound) at(now clock.Microseconds) clock.Microseconds {
	return o.offset - (now-o.measuredAt)/maxDriftDivisor
}

// Estimator estimates the clock of one receiver. An answer shows the receiver's clock before
// it arrives here, so the clock shown minus the time of arrival never exceeds the true
// difference. The greatest such bound of each of the last windows is kept. The zero value is
// ready for use.
type Estimator struct {
	incarnation uint64
	windowStart clock.Microseconds
	// offsetBounds are the bounds of the current window and of the one before.
	offsetBounds [keptWindows]offsetBound
}

// RecordReading records a reading that arrived at now. The first reading of another incarnation
// discards all earlier ones.
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
	if elapsed >= keptWindows*estimateWindow {
		e.offsetBounds[1] = offsetBound{}
	}
	e.offsetBounds[0] = offsetBound{}
	e.windowStart = now
}
