package usage

import "coursepass/internal/clock"

// Windows divides the true time into windows of one length. Window k starts k lengths after the start of 1970.
type Windows struct{ Length clock.Microseconds }

// At returns the window of a moment of the true time; a moment before 1970 belongs to the first one.
func (w Windows) At(trueTime clock.Microseconds) uint64 {
	return uint64(max(trueTime, 0) / w.Length)
}

// End returns the moment at which a window ends and the next one starts.
func (w Windows) End(window uint64) clock.Microseconds {
	return (clock.Microseconds(window) + 1) * w.Length
}
