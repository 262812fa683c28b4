package singleton

import (
	"sync/atomic"

	"coursepass/internal/clock"
)

// Counters counts the calls and drafts of a runner since the start of the process.
type Counters struct {
	// Sent counts the calls that were started.
	Sent atomic.Int64
	// Acknowledged counts the calls that the platform accepted.
	Acknowledged atomic.Int64
	// Refused counts the calls whose body the platform will never accept.
	Refused atomic.Int64
	// Failed counts the calls that must be retried, except those that the lease blocked.
	Failed atomic.Int64
	// Blocked counts how often the lease did not allow a call that was ready to start, or a write of a started
	// call.
	Blocked atomic.Int64
	// DraftsRefused counts the drafts that the outbox rejected, except drafts whose number was already taken.
	DraftsRefused atomic.Int64
}

// AddCounters adds the runner's counters to the server's counters, which are keyed by metric name.
func (r *Runner) AddCounters(counters map[string]int64) {
	counters["singleton-sent"] += r.Sent.Load()
	counters["singleton-acknowledged"] += r.Acknowledged.Load()
	counters["singleton-refused"] += r.Refused.Load()
	counters["singleton-failed"] += r.Failed.Load()
	counters["singleton-blocked"] += r.Blocked.Load()
	counters["singleton-drafts-refused"] += r.DraftsRefused.Load()
	r.addOutboxCounters(counters)
}

// addOutboxCounters adds the outbox metrics. Only the leader of the shard reports them; other members add 0.
func (r *Runner) addOutboxCounters(counters map[string]int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	var superseded, dropped, pending, oldest int64
	if r.term != nil {
		superseded, dropped = int64(r.view.Superseded), int64(r.view.Dropped)
		pending = int64(len(r.term.undelivered(r.view)))
		oldest = int64(r.oldestPendingAge(r.options.Clock.Now()) / clock.Millisecond)
	}
	counters["singleton-superseded"] += superseded
	counters["singleton-dropped"] += dropped
	counters["singleton-pending"] += pending
	counters["singleton-oldest-ms"] = max(counters["singleton-oldest-ms"], oldest)
}
