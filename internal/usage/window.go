package usage

import "coursepass/internal/clock"

// Windows divides true time into windows of equal length. Window k starts k*Length after the Unix epoch.
type Windows struct{ Length clock.Microseconds }

// At returns the window that contains a true time. Times before the Unix epoch belong to window 0.
func (w Windows) At(trueTime clock.Microseconds) uint64 {
	return uint64(max(trueTime, 0) / w.Length)
}

// End returns the time at which a window ends and the next window starts.
func (w Windows) End(window uint64) clock.Microseconds {
	return (clock.Microseconds(window) + 1) * w.Length
}
