package registry

import (
	"hash/fnv"

	"coursepass/internal/clock"
)

const (
	// slowStartDuration is the engine age at which the warm-up ends.
	slowStartDuration = 5 * clock.Second
	// slowStartRuns is the number of completed runs at which the warm-up ends, if the engine
	// reaches it before slowStartDuration.
	slowStartRuns = 8
	// slowStartInitialCapacity is the maximum number of concurrent runs at the start of the warm-up.
	slowStartInitialCapacity = 2
	// slowStartMinRuns is the number of completed runs from which the capacity of an engine that
	// is warming up equals its number of completed runs.
	slowStartMinRuns = 4
	// suspicionDuration is the time after which an engine without a new report is no longer suspected.
	suspicionDuration = 3 * clock.Second
	// loadSampleExpiry is the age at which a sample of other routers' runs no longer counts.
	loadSampleExpiry = 1000 * clock.Millisecond
	// defaultMaxRuns is the capacity in concurrent runs of an engine that reports no capacity.
	defaultMaxRuns = 4
)

// maxRuns returns the maximum number of concurrent runs at the engine after its warm-up.
func (e *tableEntry) maxRuns() int {
	if e.report.Capacity > 0 {
		return e.report.Capacity
	}
	return defaultMaxRuns
}

// load estimates the number of runs at the engine: this router's own runs plus the other
// routers' runs from the last sample, whose weight falls linearly to 0 at loadSampleExpiry.
func (e *tableEntry) load(now clock.Microseconds) float64 {
	weight := 1 - float64(now-e.sampledAt)/float64(loadSampleExpiry)
	return float64(e.ownRuns) + float64(e.otherRuns)*max(weight, 0)
}

// capacity returns the maximum number of concurrent runs that all routers together may have at
// the engine, and whether the engine is warming up. The limit of an engine that is warming up
// starts at slowStartInitialCapacity and grows with the number of completed runs.
//
// An engine that failed a run, or answered that it is warming up, may be a new incarnation. It is
// suspected and treated as warming up until its next report arrives. The suspicion also ends after
// suspicionDuration, since without a leader no reports are forwarded.
func (e *tableEntry) capacity(now clock.Microseconds) (limit int, warmingUp bool) {
	age := e.report.Age + now - e.reportedAt
	if e.suspectedAt > e.reportedAt && now-e.suspectedAt < suspicionDuration {
		return min(e.maxRuns(), slowStartInitialCapacity), true
	}
	if age < slowStartDuration && e.report.Completed < slowStartRuns {
		limit := slowStartInitialCapacity
		if e.report.Completed >= slowStartMinRuns {
			limit = int(e.report.Completed)
		}
		return min(e.maxRuns(), limit), true
	}
	return e.maxRuns(), false
}

// quotaShare returns this router's quota: its share of the limit on the concurrent runs at an
// engine. The quotas of all routers in the assignment add up to the limit. A hash of the engine's name
// selects the routers that get the remainder of the division, so that these routers differ
// between engines. The quota of a router that is missing from the assignment is 0.
func (t *Table) quotaShare(entry *tableEntry, limit int) int {
	routers := t.assignment.Routers
	for index, name := range routers {
		if name != t.routerName {
			continue
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(entry.Name)) // Hash.Write never returns an error.
		quota := limit / len(routers)
		remainderOffset := int(hash.Sum32() % uint32(len(routers)))
		if (index+remainderOffset)%len(routers) < limit%len(routers) {
			quota++
		}
		return quota
	}
	return 0
}

// admits reports whether this router may start one more run at an engine, in addition to the
// extra runs that it is about to start. At an engine that is warming up, the router may use only
// its quota. After the warm-up, a router within its quota is admitted while the estimated load is
// below the limit. Above its quota it may also use capacity that the other routers leave unused,
// except for one run per other router, because the sample of their runs is out of date.
func (t *Table) admits(now clock.Microseconds, entry *tableEntry, extra int) bool {
	limit, warmingUp := entry.capacity(now)
	quota := t.quotaShare(entry, limit)
	ownRuns := entry.ownRuns + extra
	load := entry.load(now) + float64(extra)
	if warmingUp {
		return ownRuns < quota
	}
	otherRouters := max(len(t.assignment.Routers)-1, 0)
	return load < float64(limit) && (ownRuns < quota || load < float64(limit-otherRouters))
}
