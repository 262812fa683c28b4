package lease

import (
	"slices"

	"coursepass/internal/clock"
)

// Lease is a leader's lease for one term.
type Lease struct {
	Timing
	// Term is the term that the lease is for.
	Term uint64
	// requestedAt is, by slot, when the latest request was sent that the slot has granted; 0 if
	// it has granted none.
	requestedAt []clock.Microseconds
	// acquiredAt is when a majority was seen to have granted first; it counts if acquired.
	acquiredAt clock.Microseconds
	acquired   bool
}

// NewLease returns the lease of a term without any grants yet.
func NewLease(timing Timing, term uint64, slots int) *Lease {
	return &Lease{
		Timing:      timing,
		Term:        term,
		requestedAt: make([]clock.Microseconds, slots),
	}
}

// RecordRenewal records a slot's grant of the request that was sent at requestedAt. The grant
// counts from then on, which is no later than when the slot began to count.
func (l *Lease) RecordRenewal(now clock.Microseconds, slot int, requestedAt clock.Microseconds) {
	if requestedAt > l.requestedAt[slot] {
		l.requestedAt[slot] = requestedAt
	}
	if !l.acquired && l.ExpiresAt() > now {
		l.acquired = true
		l.acquiredAt = now
	}
}

// Revoke drops the grants of a slot, because another daemon has become its member.
func (l *Lease) Revoke(slot int) {
	l.requestedAt[slot] = 0
}

// ExpiresAt returns when the grants of a majority end; 0 while no majority has granted.
func (l *Lease) ExpiresAt() clock.Microseconds {
	ordered := slices.Sorted(slices.Values(l.requestedAt))
	oldest := ordered[len(ordered)-majority(len(ordered))]
	if oldest == 0 {
		return 0
	}
	return oldest + l.LeaseDuration - l.SafetyMargin
}

// UsableFrom returns the first time at which this term may send commands: one lease duration
// after a majority has granted first, when no command of an earlier leader can still arrive. It
// is clock.Never while no majority has granted.
func (l *Lease) UsableFrom() clock.Microseconds {
	if !l.acquired {
		return clock.Never
	}
	return l.acquiredAt + l.LeaseDuration
}

// CoversCommand reports whether a command that is sent now, and is carried out within a timeout
// or not at all, lies entirely within the lease.
func (l *Lease) CoversCommand(now, timeout clock.Microseconds) bool {
	return l.acquired && now >= l.UsableFrom() && now+timeout < l.ExpiresAt()
}

// majority returns the smallest number of slots that is more than half of them.
func majority(slots int) int {
	return slots/2 + 1
}
