// Package link judges the age of messages between two machines on their
// monotonic clocks, which share no start.
package link

import "coursepass/internal/schedule"

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

const window = 30 * schedule.Second

// Gauge is the sender's knowledge of one receiver's clock. The other side's
// answer showed its clock before the answer arrived here, so that clock minus our
// time of arrival never overstates the difference. The best bound of the last two
// windows is kept; older ones are forgotten, since clocks drift.
type Gauge struct {
	incarnation uint64
	opened      schedule.Microseconds
	bounds      [2]schedule.Microseconds
	filled      [2]bool
}

// Read takes a reading that arrived now.
func (gauge *Gauge) Read(now schedule.Microseconds, reading Reading) {
	if reading.Incarnation != gauge.incarnation {
		*gauge = Gauge{incarnation: reading.Incarnation, opened: now}
	}
	gauge.turn(now)
	bound := reading.Clock - now
	if !gauge.filled[0] || bound > gauge.bounds[0] {
		gauge.bounds[0], gauge.filled[0] = bound, true
	}
}

func (gauge *Gauge) turn(now schedule.Microseconds) {
	if passed := now - gauge.opened; passed >= window {
		gauge.bounds[1], gauge.filled[1] = gauge.bounds[0], gauge.filled[0] && passed < 2*window
		gauge.filled[0], gauge.opened = false, now
	}
}

// Stamp marks a message that is sent now.
func (gauge *Gauge) Stamp(now schedule.Microseconds) Stamp {
	gauge.turn(now)
	best, known := gauge.bounds[0], gauge.filled[0]
	if gauge.filled[1] && (!known || gauge.bounds[1] > best) {
		best, known = gauge.bounds[1], true
	}
	return Stamp{Incarnation: gauge.incarnation, Sent: now + best, Known: known}
}

// Age is an upper bound of a message's age, as its receiver sees it; false when
// it can't be judged.
func (stamp Stamp) Age(now schedule.Microseconds, incarnation uint64) (schedule.Microseconds, bool) {
	if !stamp.Known || stamp.Incarnation != incarnation {
		return 0, false
	}
	return now - stamp.Sent, true
}
