package registry

import (
	"hash/fnv"

	"coursepass/internal/clock"
)

const (
	slowStartDuration        = 5 * clock.Second
	slowStartRuns            = 8
	slowStartInitialCapacity = 2
	suspicionDuration        = 3 * clock.Second
	// So many runs must have ended before a cold engine earns more room.
	slowStartMinRuns = 4
)

// An engine that failed a run, or said that it is cold, may be another life than the one
// that was heard of: it counts as cold until it is heard again, or for three seconds
// where no leader passes on what engines tell.
//
// room is how many runs an engine may have from all routers together, and whether it is
// cold: then it starts with two, and earns more by the work it has done.
func (t *tableEntry) capacity(now clock.Microseconds) (limit int, warmingUp bool) {
	age := t.report.Age + now - t.reportedAt
	if t.suspectedAt > t.reportedAt && now-t.suspectedAt < suspicionDuration {
		return min(t.maxRuns(), slowStartInitialCapacity), true
	}
	if age < slowStartDuration && t.report.Completed < slowStartRuns {
		limit := slowStartInitialCapacity
		if t.report.Completed >= slowStartMinRuns {
			limit = int(t.report.Completed)
		}
		return min(t.maxRuns(), limit), true
	}
	return t.maxRuns(), false
}

// quotaShare is this router's part of so many places at an engine, by the routers that the
// contract names: the parts of all add up to the places, and who has the odd ones
// differs from engine to engine. One that is not named yet has none.
func (t *Table) quotaShare(entry *tableEntry, limit int) int {
	routers := t.assignment.Routers
	for index, name := range routers {
		if name != t.routerName {
			continue
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(entry.Name))
		quota := limit / len(routers)
		if (index+int(hash.Sum32()%uint32(len(routers))))%len(routers) < limit%len(routers) {
			quota++
		}
		return quota
	}
	return 0
}

// admits tells whether this router may take one more place at an engine, besides so many that it is about to take. Its own share is
// always its; of a warm engine it may borrow what the others leave unused, but for one
// place each, since what is known of their runs is late. Of a cold one it may not.
func (t *Table) admits(now clock.Microseconds, entry *tableEntry, extra int) bool {
	limit, warmingUp := entry.capacity(now)
	quota, ownRuns, load := t.quotaShare(entry, limit), entry.ownRuns+extra, entry.load(now)+float64(extra)
	if warmingUp {
		return ownRuns < quota
	}
	otherRouters := max(len(t.assignment.Routers)-1, 0)
	return load < float64(limit) && (ownRuns < quota || load < float64(limit-otherRouters))
}
