package enginecommand

import "coursepass/internal/clock"

// LeaseGuard is the time, on the leader's clock, in which its lease allows it to command engines.
type LeaseGuard struct {
	Term      uint64
	NotBefore clock.Microseconds
	NotAfter  clock.Microseconds
}

// Covers tells whether a command that begins now and ends within the timeout lies within the lease. Without
// a lease (nil) none does.
func (l *LeaseGuard) Covers(now, timeout clock.Microseconds) bool {
	return l != nil && now >= l.NotBefore && now+timeout < l.NotAfter
}
