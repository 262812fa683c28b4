package singleton

import (
	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/outbox"
)

const (
	// sendTimeout is the minimum remaining time of the lease when bytes of a call are written. No written bytes
	// arrive later than that, since the kernel discards them after connectionTimeout.
	sendTimeout = 600 * clock.Millisecond
	// connectionTimeout is the TCP user timeout of connections to the platform: the kernel closes a connection
	// whose written bytes are not acknowledged within it.
	connectionTimeout = sendTimeout / 2
)

// readiness describes whether a call may be made now.
type readiness uint8

const (
	// readinessNone means that no entry is waiting, that all waiting entries are in backoff, or that a call is in
	// flight.
	readinessNone readiness = iota
	// readinessBlocked means that an entry is waiting, but the lease does not allow its call.
	readinessBlocked
	// readinessReady means that the call for an entry may be made.
	readinessReady
)

// delivery decides which entry is sent next and when. It is a pure state machine for one term: the results of
// calls are discarded when the term ends, and the next leader resends every entry that is not marked as done in
// the outbox. At most one call is in flight at a time.
type delivery struct {
	term     uint64
	subjects map[outbox.Subject]*subjectState
	inFlight bool
}

// subjectState is the delivery state of one subject in this term.
type subjectState struct {
	// delivered is the number of the last entry that needs no further call, and deliveredAt is when its call
	// ended. Both are valid only if hasDelivered is set.
	delivered    uint64
	deliveredAt  clock.Microseconds
	hasDelivered bool
	// failures is the number of consecutive failed calls.
	failures int
	// notBefore is when the backoff after the last failed call ends.
	notBefore clock.Microseconds
	// lastError is the reason of the last failed call.
	lastError string
}

func newDelivery(term uint64) *delivery {
	return &delivery{term: term, subjects: map[outbox.Subject]*subjectState{}}
}

// stateOf returns the delivery state of a subject, and creates it if it does not exist yet.
func (d *delivery) stateOf(subject outbox.Subject) *subjectState {
	state, exists := d.subjects[subject]
	if !exists {
		state = &subjectState{}
		d.subjects[subject] = state
	}
	return state
}

// isDelivered reports whether an entry needs no further call in this term.
func (d *delivery) isDelivered(entry outbox.Entry) bool {
	state, exists := d.subjects[entry.Subject]
	return exists && state.hasDelivered && entry.Number <= state.delivered
}

// undelivered returns the entries that still need a call, in the order in which the outbox accepted them.
func (d *delivery) undelivered(view outbox.View) []outbox.Entry {
	var entries []outbox.Entry
	for _, entry := range view.Pending {
		if !d.isDelivered(entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// next returns the entry whose call may be made now; the entry is valid only with readinessReady. Within a
// subject, entries are sent in the order of their numbers. Among subjects, the entry with the lowest priority
// value comes first, then the one that was accepted first.
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
		if !isFirst || now < d.stateOf(entry.Subject).notBefore {
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

// leaseCovers reports whether the lease allows bytes of a call of the given term to be written now.
func leaseCovers(guard *enginecommand.LeaseGuard, term uint64, now clock.Microseconds) bool {
	return guard.Covers(now, sendTimeout) && guard.Term == term
}

// begin records that a call has been started.
func (d *delivery) begin() { d.inFlight = true }

// finish records the outcome of the call in flight. A call that must be retried is delayed by a backoff, unless
// it failed only because the lease did not allow it.
func (d *delivery) finish(now clock.Microseconds, entry outbox.Entry, outcome callOutcome, jitter float64) {
	d.inFlight = false
	state := d.stateOf(entry.Subject)
	switch {
	case outcome.judgement != platformport.JudgementRetry:
		state.delivered, state.deliveredAt, state.hasDelivered = entry.Number, now, true
		state.failures, state.notBefore, state.lastError = 0, 0, ""
	case !outcome.blocked:
		state.failures++
		state.notBefore = now + backoff(state.failures, jitter)
		state.lastError = outcome.reason
	}
}

// callOutcome is the outcome of a call.
type callOutcome struct {
	judgement platformport.Judgement
	// blocked means that the lease did not allow a write, so the platform has not received the complete call.
	blocked bool
	// reason describes why the call was not accepted.
	reason string
}

// marks returns a mark for each subject that has delivered entries still pending in the outbox. The second result
// is when the first of the marked entries was delivered, and clock.Never without marks.
func (d *delivery) marks(view outbox.View) (marks []outbox.Mark, since clock.Microseconds) {
	since = clock.Never
	marked := map[outbox.Subject]bool{}
	for _, entry := range view.Pending {
		if marked[entry.Subject] || !d.isDelivered(entry) {
			continue
		}
		marked[entry.Subject] = true
		state := d.subjects[entry.Subject]
		marks = append(marks, outbox.Mark{Subject: entry.Subject, Number: state.delivered})
		since = min(since, state.deliveredAt)
	}
	return marks, since
}
