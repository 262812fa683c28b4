package messageage

import "coursepass/internal/clock"

// Stamp travels with a message, by gob: its name and its field names are part of the wire
// format.
type Stamp struct {
	// Incarnation is the receiver's incarnation whose clock Sent refers to.
	Incarnation uint64
	// Sent is a lower bound of the time of sending, on the receiver's clock.
	Sent clock.Microseconds
	// Known is set if there was a reading of the receiver's clock to compute Sent from.
	Known bool
}

// Age returns an upper bound of the age of a message that its receiver, in an incarnation,
// reads at now on its own clock. It returns false if the age is unknown: the sender knew no
// recent reading of this incarnation's clock.
func (s Stamp) Age(now clock.Microseconds, incarnation uint64) (clock.Microseconds, bool) {
	if !s.Known || s.Incarnation != incarnation {
		return 0, false
	}
	return now - s.Sent, true
}
