// Package lease gives the leader of a part its right to order engines: a grant
// of lease-ms from a majority of voters, counted by each on its own monotonic
// clock.
package lease

import (
	"slices"

	"coursepass/internal/clock"
)

// Timing are the lengths that all voters and holders of a fleet share.
type Timing struct {
	LeaseDuration clock.Microseconds
	SafetyMargin  clock.Microseconds
}

// Granter is one voter's side. It never grants a second round before the first
// round's grant has run out.
type Granter struct {
	Timing
	term      uint64
	expiresAt clock.Microseconds
}

// NewGranter starts by waiting one whole grant, since what an earlier life granted
// is not written down.
func NewGranter(timing Timing, now clock.Microseconds, newCluster bool) *Granter {
	granter := &Granter{Timing: timing}
	if !newCluster {
		granter.expiresAt = now + timing.LeaseDuration + timing.SafetyMargin
	}
	return granter
}

// HandleRequest grants or renews the round, or says no.
func (g *Granter) HandleRequest(now clock.Microseconds, term uint64) bool {
	if term < g.term || term != g.term && now < g.expiresAt {
		return false
	}
	g.term, g.expiresAt = term, now+g.LeaseDuration+g.SafetyMargin
	return true
}

// Lease is the leader's side for one round.
type Lease struct {
	Timing
	Term        uint64
	requestedAt []clock.Microseconds
	acquiredAt  clock.Microseconds
	acquired    bool
}

// NewLease is a holder without any grant yet.
func NewLease(timing Timing, term uint64, slots int) *Lease {
	return &Lease{Timing: timing, Term: term, requestedAt: make([]clock.Microseconds, slots)}
}

// RecordRenewal notes a voter's yes. The grant counts from before it was asked for.
func (l *Lease) RecordRenewal(now clock.Microseconds, slot int, requestedAt clock.Microseconds) {
	if requestedAt > l.requestedAt[slot] {
		l.requestedAt[slot] = requestedAt
	}
	if !l.acquired && l.ExpiresAt() > now {
		l.acquired, l.acquiredAt = true, now
	}
}

// Revoke takes back what a slot granted, since another daemon holds it now.
func (l *Lease) Revoke(slot int) { l.requestedAt[slot] = 0 }

// ExpiresAt is when the majority's grant runs out.
func (l *Lease) ExpiresAt() clock.Microseconds {
	ordered := slices.Sorted(slices.Values(l.requestedAt))
	oldest := ordered[len(ordered)-(len(ordered)/2+1)]
	if oldest == 0 {
		return 0
	}
	return oldest + l.LeaseDuration - l.SafetyMargin
}

// UsableFrom is the first moment at which this round may send orders: one whole lease
// after its first grant, so that nothing an earlier holder sent can still arrive.
func (l *Lease) UsableFrom() clock.Microseconds {
	if !l.acquired {
		return clock.Never
	}
	return l.acquiredAt + l.LeaseDuration
}

// CoversCommand tells whether an order begun now and done within the budget lies wholly
// inside the grant.
func (l *Lease) CoversCommand(now, timeout clock.Microseconds) bool {
	return l.acquired && now >= l.UsableFrom() && now+timeout < l.ExpiresAt()
}
