// Package grant gives the leader of a part its right to order engines: a grant
// of lease-ms from a majority of voters, counted by each on its own monotonic
// clock.
package grant

import (
	"slices"

	"coursepass/internal/clock"
)

// Terms are the lengths that all voters and holders of a fleet share.
type Terms struct {
	Lease  schedule.Microseconds
	Margin schedule.Microseconds
}

// Voter is one voter's side. It never grants a second round before the first
// round's grant has run out.
type Voter struct {
	Terms
	round uint64
	until schedule.Microseconds
}

// NewVoter starts by waiting one whole grant, since what an earlier life granted
// is not written down.
func NewVoter(terms Terms, now schedule.Microseconds, first bool) *Voter {
	voter := &Voter{Terms: terms}
	if !first {
		voter.until = now + terms.Lease + terms.Margin
	}
	return voter
}

// Give grants or renews the round, or says no.
func (g *Voter) Give(now schedule.Microseconds, round uint64) bool {
	if round < g.round || round != g.round && now < g.until {
		return false
	}
	g.round, g.until = round, now+g.Lease+g.Margin
	return true
}

// Holder is the leader's side for one round.
type Holder struct {
	Terms
	Round  uint64
	asked  []schedule.Microseconds
	since  schedule.Microseconds
	earned bool
}

// NewHolder is a holder without any grant yet.
func NewHolder(terms Terms, round uint64, slots int) *Holder {
	return &Holder{Terms: terms, Round: round, asked: make([]schedule.Microseconds, slots)}
}

// Gain notes a voter's yes. The grant counts from before it was asked for.
func (l *Holder) Gain(now schedule.Microseconds, slot int, asked schedule.Microseconds) {
	if asked > l.asked[slot] {
		l.asked[slot] = asked
	}
	if !l.earned && l.Until() > now {
		l.earned, l.since = true, now
	}
}

// Forget takes back what a slot granted, since another daemon holds it now.
func (l *Holder) Forget(slot int) { l.asked[slot] = 0 }

// Until is when the majority's grant runs out.
func (l *Holder) Until() schedule.Microseconds {
	ordered := slices.Sorted(slices.Values(l.asked))
	oldest := ordered[len(ordered)-(len(ordered)/2+1)]
	if oldest == 0 {
		return 0
	}
	return oldest + l.Lease - l.Margin
}

// Quiet is the first moment at which this round may send orders: one whole lease
// after its first grant, so that nothing an earlier holder sent can still arrive.
func (l *Holder) Quiet() schedule.Microseconds {
	if !l.earned {
		return schedule.Never
	}
	return l.since + l.Lease
}

// Covers tells whether an order begun now and done within the budget lies wholly
// inside the grant.
func (l *Holder) Covers(now, budget schedule.Microseconds) bool {
	return l.earned && now >= l.Quiet() && now+budget < l.Until()
}
