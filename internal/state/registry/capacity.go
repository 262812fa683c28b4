package registry

import (
	"hash/fnv"

	"coursepass/internal/clock"
)

const (
	// An engine is warming up until it has this age or has completed this many runs.
	slowStartDuration = 5 * clock.Second
	slowStartRuns     = 8
	// slowStartInitialCapacity is the capacity of an engine that is warming up.
	slowStartInitialCapacity = 2
	// slowStartMinRuns is how many runs must be completed before that capacity rises.
	slowStartMinRuns = 4
	// suspicionDuration is how long an engine is suspected without a new report of it.
	suspicionDuration = 3 * clock.Second
	// loadSampleExpiry is the age at which a sample of other routers' runs counts for nothing.
	loadSampleExpiry = 1000 * clock.Millisecond
	// defaultMaxRuns is the capacity of an engine that reports none.
	defaultMaxRuns = 4
)

// maxRuns is the capacity of the engine once it has warmed up.
func (e *tableEntry) maxRuns() int {
	if e.report.Capacity > 0 {
		return e.report.Capacity
	}
	return defaultMaxRuns
}

// load estimates the runs at the engine: this router's own, and those of the others from the
// last sample, which counts less as it ages.
func (e *tableEntry) load(now clock.Microseconds) float64 {
	weight := 1 - float64(now-e.sampledAt)/float64(loadSampleExpiry)
	return float64(e.ownRuns) + float64(e.otherRuns)*max(weight, 0)
}

// capacity returns how many runs all routers together may have at the engine, and whether it
// is warming up. It starts with two runs then, and gets more by the runs it has completed.
//
// An engine that failed a run, or said that it is warming up, may be a new incarnation: it is
// suspected, and counts as warming up until its next report, or for a limited time where no
// leader forwards reports.
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

// quotaShare returns this router's share of an engine's capacity, among the routers of the
// assignment: the shares of all routers add up to the limit, and the remainder of the
// division goes to different routers at different engines. A router that the assignment
// doesn't name has no share.
func (t *Table) quotaShare(entry *tableEntry, limit int) int {
	routers := t.assignment.Routers
	for index, name := range routers {
		if name != t.routerName {
			continue
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(entry.Name)) // A hash never fails to write.
		quota := limit / len(routers)
		rotation := int(hash.Sum32() % uint32(len(routers)))
		if (index+rotation)%len(routers) < limit%len(routers) {
			quota++
		}
		return quota
	}
	return 0
}

// admits reports whether this router may start one more run at an engine, besides extra ones
// that it is about to start. Its own share is always its to use. At an engine that has warmed
// up it may also borrow what the others leave unused, except for one run for each of them,
// since what is known of their runs is late.
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
