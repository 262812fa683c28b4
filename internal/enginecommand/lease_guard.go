package enginecommand

import "coursepass/internal/clock"

// LeaseGuard is the interval, on the leader's clock, in which the leader's lease allows commands to engines.
type LeaseGuard struct {
	Term      uint64
	NotBefore clock.Microseconds
	NotAfter  clock.Microseconds
}

// Covers reports whether a command that starts now and takes up to the timeout ends within the lease. A nil
// lease covers no command.
func (l *LeaseGuard) Covers(now, timeout clock.Microseconds) bool {
	return l != nil && now >= l.NotBefore && now+timeout < l.NotAfter
}
