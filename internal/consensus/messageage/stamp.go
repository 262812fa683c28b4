package messageage

import "coursepass/internal/clock"

// Stamp is sent with a message, in gob encoding. The names of the type and of its fields are part
// of the wire format.
type Stamp struct {
	// Incarnation is the incarnation of the receiver to whose clock Sent refers.
	Incarnation uint64
	// Sent is a lower bound of the time of sending, on the receiver's clock.
	Sent clock.Microseconds
	// Known is set if Sent could be computed, because a reading of the receiver's clock was
	// available.
	Known bool
}

// Age returns an upper bound of the age of a message. now is the time on the clock of the message's
// receiver, which runs in the given incarnation. Age returns false if the age is unknown, because
// the sender had no recent reading of the clock of this incarnation.
func (s Stamp) Age(now clock.Microseconds, incarnation uint64) (clock.Microseconds, bool) {
	if !s.Known || s.Incarnation != incarnation {
		return 0, false
	}
	return now - s.Sent, true
}
