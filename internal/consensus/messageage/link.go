// Package link judges the age of messages between two machines on their
// monotonic clocks, which share no start.
package link

import "coursepass/internal/clock"

// Stamp goes with a message. Sent is a lower bound of the sending moment on the
// receiver's own clock; Incarnation names the receiver's life that clock is of.
type Stamp struct {
	Incarnation uint64
	Sent        schedule.Microseconds
	Known       bool
}

// Reading is what the other side's clock showed when it answered.
type Reading struct {
	Incarnation uint64
	Clock       schedule.Microseconds
}

const (
	window = 30 * schedule.Second
	// drift is the most that two clocks may part, as one in so many: 500 ppm.
	drift = 2000
)

type bound struct {
	value  schedule.Microseconds
	taken  schedule.Microseconds
	filled bool
}

func (o bound) at(now schedule.Microseconds) schedule.Microseconds {
	return o.value - (now-o.taken)/drift
}

// Gauge is the sender's knowledge of one receiver's clock. The other side's
// answer showed its clock before the answer arrived here, so that clock minus our
// time of arrival never overstates the difference. The best bound of the last two
// windows is kept, less what clocks may have drifted since.
type Gauge struct {
	incarnation uint64
	opened      schedule.Microseconds
	bounds      [2]bound
}

// Read takes a reading that arrived now.
func (e *Gauge) Read(now schedule.Microseconds, reading Reading) {
	if reading.Incarnation != e.incarnation {
		*e = Gauge{incarnation: reading.Incarnation, opened: now}
	}
	e.turn(now)
	found := bound{reading.Clock - now, now, true}
	if held := e.bounds[0]; !held.filled || found.value > held.at(now) {
		e.bounds[0] = found
	}
}

func (e *Gauge) turn(now schedule.Microseconds) {
	if passed := now - e.opened; passed >= window {
		e.bounds[1] = e.bounds[0]
		if passed >= 2*window {
			e.bounds[1] = bound{}
		}
		e.bounds[0], e.opened = bound{}, now
	}
}

// Stamp marks a message that is sent now.
func (e *Gauge) Stamp(now schedule.Microseconds) Stamp {
	e.turn(now)
	stamp := Stamp{Incarnation: e.incarnation}
	for _, each := range e.bounds {
		if sent := now + each.at(now); each.filled && (!stamp.Known || sent > stamp.Sent) {
			stamp.Sent, stamp.Known = sent, true
		}
	}
	return stamp
}

// Age is an upper bound of a message's age, as its receiver sees it; false when
// it can't be judged.
func (s Stamp) Age(now schedule.Microseconds, incarnation uint64) (schedule.Microseconds, bool) {
	if !s.Known || s.Incarnation != incarnation {
		return 0, false
	}
	return now - s.Sent, true
}
