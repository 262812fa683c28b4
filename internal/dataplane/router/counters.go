package router

import (
	"maps"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"coursepass/internal/metrics"
	"coursepass/internal/metrics/resources"
)

// Counters are a router's counters of its communication with the control plane.
type Counters struct {
	// FreshnessReads counts the reads of the shards' revisions. FreshnessReadsWithoutQuorum counts the
	// reads to which too few members responded: no quorum of up-to-date members, or in open gate mode
	// no member at all.
	FreshnessReads              atomic.Int64
	FreshnessReadsWithoutQuorum atomic.Int64
	// SnapshotsOffered counts the snapshots of shards that the router offered to recovering replicas.
	SnapshotsOffered atomic.Int64
}

// counterValues returns all counters by their exported names. If the data plane has a counter of the
// same name, its value replaces the router's.
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
	maps.Copy(counters, r.httpHandler.CounterValues())
	maps.Copy(counters, r.networkCounters())
	if r.dataPlane != nil {
		maps.Copy(counters, r.dataPlane.CounterValues())
	}
	return counters
}

// networkCounters returns the counters of the internal interface, of the traffic within and between
// zones, and of gossip.
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

// collectors returns the Prometheus collectors of the router's resource usage and of the data plane,
// if one is set.
func (r *Router) collectors() []prometheus.Collector {
	collectors := []prometheus.Collector{metrics.ResourceCollector(string(r.Role), r.resourceSnapshot)}
	if r.dataPlane == nil {
		return collectors
	}
	return append(collectors, r.dataPlane.Collectors()...)
}
