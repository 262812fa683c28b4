package catalogue

import (
	"hash/fnv"

	"coursepass/internal/clock"
)

const (
	warmSpan  = 5 * schedule.Second
	warmRuns  = 8
	coldRoom  = 2
	doubtSpan = 3 * schedule.Second
	// So many runs must have ended before a cold engine earns more room.
	firstRuns = 4
)

// An engine that failed a run, or said that it is cold, may be another life than the one
// that was heard of: it counts as cold until it is heard again, or for three seconds
// where no leader passes on what engines tell.
//
// room is how many runs an engine may have from all routers together, and whether it is
// cold: then it starts with two, and earns more by the work it has done.
func (t *seat) room(now schedule.Microseconds) (places int, cold bool) {
	age := t.report.Age + now - t.heard
	if t.doubted > t.heard && now-t.doubted < doubtSpan {
		return min(t.slots(), coldRoom), true
	}
	if age < warmSpan && t.report.Completed < warmRuns {
		places := coldRoom
		if t.report.Completed >= firstRuns {
			places = int(t.report.Completed)
		}
		return min(t.slots(), places), true
	}
	return t.slots(), false
}

// share is this router's part of so many places at an engine, by the routers that the
// contract names: the parts of all add up to the places, and who has the odd ones
// differs from engine to engine. One that is not named yet has none.
func (t *Table) share(held *seat, places int) int {
	routers := t.contract.Routers
	for place, name := range routers {
		if name != t.self {
			continue
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(held.Name))
		share := places / len(routers)
		if (place+int(hash.Sum32()%uint32(len(routers))))%len(routers) < places%len(routers) {
			share++
		}
		return share
	}
	return 0
}

// gives tells whether this router may take one more place at an engine, besides so many that it is about to take. Its own share is
// always its; of a warm engine it may borrow what the others leave unused, but for one
// place each, since what is known of their runs is late. Of a cold one it may not.
func (t *Table) gives(now schedule.Microseconds, held *seat, more int) bool {
	places, cold := held.room(now)
	share, own, busy := t.share(held, places), held.own+more, held.busy(now)+float64(more)
	if cold {
		return own < share
	}
	others := max(len(t.contract.Routers)-1, 0)
	return busy < float64(places) && (own < share || busy < float64(places-others))
}
