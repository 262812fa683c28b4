package singleton

import (
	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
)

// sendTimeout is how long the lease must still last when bytes of a call are written. Nothing of them arrives
// later than that: the kernel gives them up within connectionTimeout.
const (
	sendTimeout       = 600 * clock.Millisecond
	connectionTimeout = sendTimeout / 2
)

// readiness says whether a call may be made now.
type readiness uint8

const (
	// readinessNone means that no entry waits, that all wait for their backoff, or that a call is in flight.
	readinessNone readiness = iota
	// readinessBlocked means that an entry waits for the lease.
	readinessBlocked
	// readinessReady means that the call of an entry may be made.
	readinessReady
)

// delivery decides which entry is sent when. It is a pure state machine of one term: what it knows of calls is
// lost with the term, and the next leader sends again what is not marked as done. One call is in flight at a
// time.
type delivery struct {
	term     uint64
	lanes    map[outbox.Subject]*lane
	inFlight bool
}

// lane is what is known of the calls of one subject.
type lane struct {
	// delivered is the highest number that needs no further call, and deliveredAt since when, if any does.
	delivered    uint64
	deliveredAt  clock.Microseconds
	hasDelivered bool
	// failures counts those in a row, notBefore ends the wait after the last one, and lastError says why.
	failures  int
	notBefore clock.Microseconds
	lastError string
}

func newDelivery(term uint64) *delivery {
	return &delivery{term: term, lanes: map[outbox.Subject]*lane{}}
}

func (d *delivery) lane(subject outbox.Subject) *lane {
	known, exists := d.lanes[subject]
	if !exists {
		known = &lane{}
		d.lanes[subject] = known
	}
	return known
}

// isDelivered tells whether an entry needs no further call in this term.
func (d *delivery) isDelivered(entry outbox.Entry) bool {
	known, exists := d.lanes[entry.Subject]
	return exists && known.hasDelivered && entry.Number <= known.delivered
}

// undelivered returns the entries that need a call, in the order in which they were accepted.
func (d *delivery) undelivered(view outbox.View) []outbox.Entry {
	var entries []outbox.Entry
	for _, entry := range view.Pending {
		if !d.isDelivered(entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// next returns the entry whose call may be made now, if one is ready. Of each subject that is the one with the
// lowest number, of different subjects the one with the first priority, then the one that was accepted first.
func (d *delivery) next(
	now clock.Microseconds, guard *enginecommand.LeaseGuard, view outbox.View,
) (outbox.Entry, readiness) {
	if d.inFlight {
		return outbox.Entry{}, readinessNone
	}
	var chosen *outbox.Entry
	seen := map[outbox.Subject]bool{}
	for _, entry := range d.undelivered(view) {
		isFirst := !seen[entry.Subject]
		seen[entry.Subject] = true
		if !isFirst || now < d.lane(entry.Subject).notBefore {
			continue
		}
		if chosen == nil || entry.Priority < chosen.Priority {
			chosen = &entry
		}
	}
	switch {
	case chosen == nil:
		return outbox.Entry{}, readinessNone
	case !leaseCovers(guard, d.term, now):
		return outbox.Entry{}, readinessBlocked
	}
	return *chosen, readinessReady
}

// leaseCovers tells whether bytes of a call of the term may be written now.
func leaseCovers(guard *enginecommand.LeaseGuard, term uint64, now clock.Microseconds) bool {
	return guard.Covers(now, sendTimeout) && guard.Term == term
}

// begin records that the call of an entry is made.
func (d *delivery) begin() { d.inFlight = true }

// finish records what became of the call in flight. A call that has to be made again waits, if it failed at the
// platform and not for want of the lease.
func (d *delivery) finish(now clock.Microseconds, entry outbox.Entry, outcome callOutcome, jitter float64) {
	d.inFlight = false
	known := d.lane(entry.Subject)
	switch {
	case outcome.judgement != platformport.JudgementRetry:
		known.delivered, known.deliveredAt, known.hasDelivered = entry.Number, now, true
		known.failures, known.notBefore, known.lastError = 0, 0, ""
	case !outcome.blocked:
		known.failures++
		known.notBefore = now + backoff(known.failures, jitter)
		known.lastError = outcome.reason
	}
}

// callOutcome is what became of a call.
type callOutcome struct {
	judgement platformport.Judgement
	// blocked means that the lease did not allow a write, so that the platform has no complete call.
	blocked bool
	// reason says why the call was not accepted.
	reason string
}

// marks returns a mark for each subject with pending entries that are delivered, and since when the oldest of
// them is.
func (d *delivery) marks(view outbox.View) (marks []outbox.Mark, since clock.Microseconds) {
	since = clock.Never
	marked := map[outbox.Subject]bool{}
	for _, entry := range view.Pending {
		if marked[entry.Subject] || !d.isDelivered(entry) {
			continue
		}
		marked[entry.Subject] = true
		known := d.lanes[entry.Subject]
		marks = append(marks, outbox.Mark{Subject: entry.Subject, Number: known.delivered})
		since = min(since, known.deliveredAt)
	}
	return marks, since
}
