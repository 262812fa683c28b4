package router

import (
	"maps"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Counters are a router's counters.
type Counters struct {
	// Received counts the requests at the own interface. Each is counted once more by its end:
	// Completed, Truncated, or, if nothing was streamed, Rejected (not run), Failed or Unknown.
	Received  atomic.Int64
	Admitted  atomic.Int64
	Completed atomic.Int64
	Rejected  atomic.Int64
	Unknown   atomic.Int64
	Failed    atomic.Int64
	Truncated atomic.Int64
	// Retries counts the further attempts at engines, EngineFailures the failures reported to leaders.
	Retries        atomic.Int64
	EngineFailures atomic.Int64
	// FreshnessReads counts the quorum reads of revisions, FreshnessReadsWithoutQuorum those of them
	// without a quorum of up-to-date members.
	FreshnessReads              atomic.Int64
	FreshnessReadsWithoutQuorum atomic.Int64
	// SnapshotsOffered counts the snapshots of shards that were offered to recovering replicas.
	SnapshotsOffered atomic.Int64
	// StaleRejections counts requests rejected because the router took no new work.
	StaleRejections atomic.Int64
	// Stalls counts attempts that were given up since their engine showed nothing for too long.
	Stalls atomic.Int64
	// EarlyRejections counts requests rejected at once, since their turn would come too late.
	EarlyRejections atomic.Int64
	// ReservationsWithoutQuorum counts one-shot requests whose key no quorum could reserve.
	ReservationsWithoutQuorum atomic.Int64
}

// counterValues are all counters by the names that operators see. A data plane's value of the same
// name replaces the router's.
func (r *Router) counterValues() map[string]int64 {
	counters := map[string]int64{}
	maps.Copy(counters, r.values())
	maps.Copy(counters, r.networkCounters())
	counters["first-basis"] = int64(r.bootstrap.Basis())
	counters["keys"] = int64(r.idempotencyKeys.Count())
	if r.dataPlane != nil {
		maps.Copy(counters, r.dataPlane.CounterValues())
	}
	return counters
}

// values are the counters by the names that operators see.
func (c *Counters) values() map[string]int64 {
	return map[string]int64{
		"received":       c.Received.Load(),
		"enrolled":       c.Admitted.Load(),
		"finished":       c.Completed.Load(),
		"declined":       c.Rejected.Load(),
		"unknown":        c.Unknown.Load(),
		"failed":         c.Failed.Load(),
		"cut":            c.Truncated.Load(),
		"repeats":        c.Retries.Load(),
		"mishaps":        c.EngineFailures.Load(),
		"reads":          c.FreshnessReads.Load(),
		"reads-short":    c.FreshnessReadsWithoutQuorum.Load(),
		"copies-offered": c.SnapshotsOffered.Load(),
		"stale":          c.StaleRejections.Load(),
		"stalls":         c.Stalls.Load(),
		"declined-early": c.EarlyRejections.Load(),
		"claims-unheard": c.ReservationsWithoutQuorum.Load(),
	}
}

// networkCounters are the counters of the internal interface, the traffic between zones and gossip.
func (r *Router) networkCounters() map[string]int64 {
	return map[string]int64{
		"foreign":       r.internal.ForeignRequests.Load(),
		"garbage":       r.internal.MalformedRequests.Load(),
		"calls":         r.meter.Calls.Load(),
		"bytes-inside":  r.meter.IntraZoneBytes.Load(),
		"bytes-across":  r.meter.CrossZoneBytes.Load(),
		"bytes-unknown": r.meter.UnknownZoneBytes.Load(),
		"news-taken":    r.gossip.Accepted.Load(),
		"news-known":    r.gossip.Duplicates.Load(),
		"news-passed":   r.gossip.Forwarded.Load(),
		"news-mended":   r.gossip.Repaired.Load(),
		"news-stepped":  r.gossip.AppliedIncrementally.Load(),
		"news-based":    r.gossip.SnapshotsNeeded.Load(),
	}
}

// collectors are the data plane's metrics, none if there is no data plane.
func (r *Router) collectors() []prometheus.Collector {
	if r.dataPlane == nil {
		return nil
	}
	return r.dataPlane.Collectors()
}
