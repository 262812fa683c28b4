package lease

import (
	"slices"

	"coursepass/internal/clock"
)

// Lease is the lease of a leader for one term.
type Lease struct {
	Timing
	// Term is the leader's term.
	Term uint64
	// requestedAt holds, by slot, the time at which the latest request that the slot has granted
	// was sent; 0 if the slot has granted none.
	requestedAt []clock.Microseconds
	// acquiredAt is the time at which the leader first held unexpired grants of a majority. It is
	// valid if acquired is set.
	acquiredAt clock.Microseconds
	acquired   bool
}

// NewLease returns the lease of a term without any grants.
func NewLease(timing Timing, term uint64, slots int) *Lease {
	return &Lease{
		Timing:      timing,
		Term:        term,
		requestedAt: make([]clock.Microseconds, slots),
	}
}

// RecordRenewal records that a slot has granted the request that was sent at requestedAt. The
// leader counts the duration of the grant from that time, which is not later than the time from
// which the slot counts it.
func (l *Lease) RecordRenewal(now clock.Microseconds, slot int, requestedAt clock.Microseconds) {
	if requestedAt > l.requestedAt[slot] {
		l.requestedAt[slot] = requestedAt
	}
	if !l.acquired && l.ExpiresAt() > now {
		l.acquired = true
		l.acquiredAt = now
	}
}

// Revoke drops the grants of a slot. It is called when the member of the slot changes.
func (l *Lease) Revoke(slot int) {
	l.requestedAt[slot] = 0
}

// ExpiresAt returns the time until which the leader holds the grants of a majority, or 0 if no
// majority has granted.
func (l *Lease) ExpiresAt() clock.Microseconds {
	ordered := slices.Sorted(slices.Values(l.requestedAt))
	oldest := ordered[len(ordered)-majority(len(ordered))]
	if oldest == 0 {
		return 0
	}
	return oldest + l.LeaseDuration - l.SafetyMargin
}

// UsableFrom returns the first time at which this term may send commands. This is one lease
// duration after a majority first granted the lease, when no command of an earlier leader can still
// arrive. It is clock.Never while no majority has granted.
func (l *Lease) UsableFrom() clock.Microseconds {
	if !l.acquired {
		return clock.Never
	}
	return l.acquiredAt + l.LeaseDuration
}

// CoversCommand reports whether a command that is sent now, and is executed either within timeout
// or not at all, lies entirely within the lease.
func (l *Lease) CoversCommand(now, timeout clock.Microseconds) bool {
	return l.acquired && now >= l.UsableFrom() && now+timeout < l.ExpiresAt()
}

// majority returns the number of slots that form a majority.
func majority(slots int) int {
	return slots/2 + 1
}
