// Package notice is what a region that is drained goes by: when it gets no new work any
// more, and when each live session leaves it. It is pure: the time is told.
package notice

import (
	"hash/fnv"
	"slices"
	"sync"

	"coursepass/internal/clock"
)

// Phase says how far a notice has come. A phase only ever becomes later.
type Phase int

// The phases.
const (
	Told Phase = iota
	Begun
	Over
)

// Longest is the longest span until a notice begins, and that it moves sessions over.
const Longest = 24 * 3600 * schedule.Second

// Notice is that a region is to be drained. Begins counts from when a daemon hears of it,
// Window from then on.
type Notice struct {
	Region string                `json:"region"`
	Key    string                `json:"key"`
	Begins schedule.Microseconds `json:"beginsMicroseconds"`
	Window schedule.Microseconds `json:"windowMicroseconds"`
	// Sequence is that of the operation which put it in force, and names it.
	Sequence uint64 `json:"sequence"`
	// Phase is what the leader has noted, for daemons that hear of the notice late.
	Phase Phase `json:"phase"`
}

// Lead is how long before a notice begins its region gets nothing new any more: what is
// sent on its way then, or is read elsewhere first, still arrives in time.
const Lead = 500 * schedule.Millisecond

type entry struct {
	Notice
	heard  schedule.Microseconds
	begins schedule.Microseconds
	ends   schedule.Microseconds
}

// Board holds the notices in force, each with its moments on this daemon's clock.
type Board struct {
	lock    sync.Mutex
	entries []entry
}

// Put takes the notices that are in force now. One that is known keeps its moments,
// unless it has come further than was thought here.
func (t *Board) Put(now schedule.Microseconds, notices []Notice) {
	t.lock.Lock()
	defer t.lock.Unlock()
	before := t.entries
	t.entries = make([]entry, 0, len(notices))
	for _, told := range notices {
		made := entry{told, now, now + told.Begins, now + told.Begins + told.Window}
		for _, known := range before {
			if known.Sequence == told.Sequence && known.Region == told.Region {
				made.heard, made.begins, made.ends = known.heard, known.begins, known.ends
			}
		}
		if told.Phase >= Begun {
			made.begins = min(made.begins, now)
			made.ends = min(made.ends, made.begins+told.Window)
		}
		if told.Phase >= Over {
			made.ends = min(made.ends, now)
		}
		t.entries = append(t.entries, made)
	}
}

func (t *Board) find(region string) (entry, bool) {
	place := slices.IndexFunc(t.entries, func(each entry) bool { return each.Region == region })
	if place < 0 {
		return entry{}, false
	}
	return t.entries[place], true
}

// Any tells whether any notice is in force.
func (t *Board) Any() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.entries) > 0
}

// Regions are those under notice.
func (t *Board) Regions() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	var regions []string
	for _, each := range t.entries {
		regions = append(regions, each.Region)
	}
	return regions
}

// Begun tells whether a region gets no new work any more.
func (t *Board) Begun(now schedule.Microseconds, region string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	each, known := t.find(region)
	return known && now >= each.begins
}

// Phase is how far the notice of a region has come by this daemon's clock.
func (t *Board) Phase(now schedule.Microseconds, region string) Phase {
	t.lock.Lock()
	defer t.lock.Unlock()
	each, known := t.find(region)
	switch {
	case !known || now < each.begins:
		return Told
	case now < each.ends:
		return Begun
	}
	return Over
}

// Shut are the regions that get no new work of a name, which may last until then. The names
// leave one by one over the second half of the time that was told, so that what is at home
// there isn't read anew elsewhere all at once. Work that can't leave later does not begin
// if it may outlast the window.
func (t *Board) Shut(now, until schedule.Microseconds, leaves bool, name string) map[string]bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	var shut map[string]bool
	for _, each := range t.entries {
		last := max(each.begins-Lead, each.heard)
		if now >= last-schedule.Microseconds(share(name)*float64(last-each.heard)/2) || !leaves && until > each.ends {
			if shut == nil {
				shut = map[string]bool{}
			}
			shut[each.Region] = true
		}
	}
	return shut
}

// Due tells whether the moment has come for a session to leave a region. The moments of
// all sessions are spread over the window by their names.
func (t *Board) Due(now schedule.Microseconds, region, identity string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	each, known := t.find(region)
	if !known || now < each.begins {
		return false
	}
	return now >= each.begins+schedule.Microseconds(share(identity)*float64(each.ends-each.begins))
}

// share is a name's place between 0 and 1.
func share(name string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	value := hash.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	return float64(value>>11) / (1 << 53)
}
