package router

import (
	"maps"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/metrics"
	"coursepass/internal/metrics/resources"
)

// Counters are the counters of a router as a follower of the control plane.
type Counters struct {
	// FreshnessReads counts the quorum reads of revisions, FreshnessReadsWithoutQuorum those of them
	// without a quorum of up-to-date members.
	FreshnessReads              atomic.Int64
	FreshnessReadsWithoutQuorum atomic.Int64
	// SnapshotsOffered counts the snapshots of shards that were offered to recovering replicas.
	SnapshotsOffered atomic.Int64
}

// counterValues are all counters by the names that operators see. A data plane's value of the same
// name replaces the router's.
func (r *Router) counterValues() map[string]int64 {
	counters := map[string]int64{
		"reads":          r.FreshnessReads.Load(),
		"reads-short":    r.FreshnessReadsWithoutQuorum.Load(),
		"copies-offered": r.SnapshotsOffered.Load(),
		"first-basis":    int64(r.bootstrap.Basis()),
	}
	r.trueTime.AddCounters(counters)
	if r.usage != nil {
		r.usage.addCounters(counters)
	}
	maps.Copy(counters, r.answers.CounterValues())
	maps.Copy(counters, r.networkCounters())
	if r.dataPlane != nil {
		maps.Copy(counters, r.dataPlane.CounterValues())
	}
	return counters
}

// networkCounters are the counters of the internal interface, the traffic between zones and gossip.
func (r *Router) networkCounters() map[string]int64 {
	return map[string]int64{
		"foreign":       r.internal.ForeignRequests.Load(),
		"garbage":       r.internal.MalformedRequests.Load(),
		"calls":         r.meter.Calls.Load(),
		"bytes-inside":  r.meter.Resources.Bytes(resources.Client, resources.SameZone),
		"bytes-across":  r.meter.Resources.Bytes(resources.Client, resources.OtherZone),
		"bytes-unknown": r.meter.Resources.Bytes(resources.Client, resources.UnknownZone),
		"news-taken":    r.gossip.Accepted.Load(),
		"news-known":    r.gossip.Duplicates.Load(),
		"news-passed":   r.gossip.Forwarded.Load(),
		"news-mended":   r.gossip.Repaired.Load(),
		"news-stepped":  r.gossip.AppliedIncrementally.Load(),
		"news-based":    r.gossip.SnapshotsNeeded.Load(),
	}
}

// collectors are the metrics of what the router uses, and those of its data plane if it has one.
func (r *Router) collectors() []prometheus.Collector {
	collectors := []prometheus.Collector{metrics.ResourceCollector(string(r.Role), r.resourceSnapshot)}
	if r.dataPlane == nil {
		return collectors
	}
	return append(collectors, r.dataPlane.Collectors()...)
}
