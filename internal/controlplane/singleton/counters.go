package singleton

import (
	"sync/atomic"

	"coursepass/internal/clock"
)

// Counters of a runner, since the start of the process.
type Counters struct {
	// Sent counts calls that were begun, Acknowledged those that the platform accepted, Refused those whose
	// body it will never accept, and Failed those that have to be made again.
	Sent         atomic.Int64
	Acknowledged atomic.Int64
	Refused      atomic.Int64
	Failed       atomic.Int64
	// Blocked counts the times that an entry was ready, or bytes of its call were to be written, and the lease
	// did not allow it.
	Blocked atomic.Int64
	// DraftsRefused counts drafts that the outbox did not accept for another reason than a number that is
	// taken.
	DraftsRefused atomic.Int64
}

// AddCounters adds the counters of the runner to those of the server, by the names under which they are shown.
func (r *Runner) AddCounters(counters map[string]int64) {
	counters["singleton-sent"] += r.Sent.Load()
	counters["singleton-acknowledged"] += r.Acknowledged.Load()
	counters["singleton-refused"] += r.Refused.Load()
	counters["singleton-failed"] += r.Failed.Load()
	counters["singleton-blocked"] += r.Blocked.Load()
	counters["singleton-drafts-refused"] += r.DraftsRefused.Load()
	r.addOutboxCounters(counters)
}

// addOutboxCounters adds what only the leader of the shard shows: the others add nothing.
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
