package singleton

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/state/outbox"
)

// oldestPendingAge returns how long ago this leader first saw the oldest entry that still needs a call, or 0 if
// there is none. The lock must be held, and r.term must not be nil.
func (r *Runner) oldestPendingAge(now clock.Microseconds) clock.Microseconds {
	oldest := clock.Microseconds(0)
	for _, entry := range r.term.undelivered(r.view) {
		oldest = max(oldest, now-r.firstSeenAt[entry.Mark()])
	}
	return oldest
}

// Status returns the shard's outbox for operators. The leader adds the results of its calls; other members return
// only their locally applied state.
func (r *Runner) Status(ctx context.Context) controlapi.OutboxStatus {
	var view outbox.View
	r.options.Shard.RunInLoop(ctx, func() { view = r.options.Outbox.View })
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.options.Clock.Now()
	status := controlapi.OutboxStatus{
		Shard:            r.options.Shard.Index(),
		Server:           r.options.Server,
		Leads:            r.term != nil && r.term.active,
		Incomplete:       view.Incomplete,
		Accepted:         view.Accepted,
		Superseded:       view.Superseded,
		Dropped:          view.Dropped,
		Pending:          []controlapi.OutboxEntry{},
		SinceLastSuccess: map[string]clock.Microseconds{},
	}
	for _, entry := range view.Pending {
		if r.term != nil && r.term.isDelivered(entry) {
			continue
		}
		status.Pending = append(status.Pending, r.entryStatus(now, entry))
	}
	if r.term != nil {
		status.Term = r.term.term
		for kind, at := range r.lastSuccessAt {
			status.SinceLastSuccess[kind] = now - at
		}
	}
	return status
}

// entryStatus returns the status of a pending entry for operators. The lock must be held.
func (r *Runner) entryStatus(now clock.Microseconds, entry outbox.Entry) controlapi.OutboxEntry {
	status := controlapi.OutboxEntry{
		Kind:    entry.Kind,
		Subject: entry.Name,
		Number:  entry.Number,
		Bytes:   len(entry.Payload),
	}
	if seenAt, known := r.firstSeenAt[entry.Mark()]; known {
		status.Age = now - seenAt
	}
	if r.term == nil {
		return status
	}
	if state, exists := r.term.subjects[entry.Subject]; exists {
		status.Failures, status.LastError = state.failures, state.lastError
	}
	return status
}
