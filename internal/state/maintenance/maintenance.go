// Package maintenance is what a region that is drained goes by: when it gets no new work any
// more, and when each live session leaves it. It is pure: the time is told.
package maintenance

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
	PhaseAnnounced Phase = iota
	PhaseStarted
	PhaseEnded
)

// MaxDuration is the longest span until a notice begins, and that it moves sessions over.
const MaxDuration = 24 * 3600 * clock.Second

// Window is that a region is to be drained. Begins counts from when a daemon hears of it,
// Window from then on.
type Window struct {
	Region string             `json:"region"`
	Key    string             `json:"key"`
	Begins clock.Microseconds `json:"beginsMicroseconds"`
	Window clock.Microseconds `json:"windowMicroseconds"`
	// Sequence is that of the operation which put it in force, and names it.
	Sequence uint64 `json:"sequence"`
	// Phase is what the leader has noted, for daemons that hear of the notice late.
	Phase Phase `json:"phase"`
}

// LeadTime is how long before a notice begins its region gets nothing new any more: what is
// sent on its way then, or is read elsewhere first, still arrives in time.
const LeadTime = 500 * clock.Millisecond

type trackedWindow struct {
	Window
	receivedAt clock.Microseconds
	startsAt   clock.Microseconds
	endsAt     clock.Microseconds
}

// Tracker holds the notices in force, each with its moments on this daemon's clock.
type Tracker struct {
	lock    sync.Mutex
	windows []trackedWindow
}

// Update takes the notices that are in force now. One that is known keeps its moments,
// unless it has come further than was thought here.
func (t *Tracker) Update(now clock.Microseconds, windows []Window) {
	t.lock.Lock()
	defer t.lock.Unlock()
	previousWindows := t.windows
	t.windows = make([]trackedWindow, 0, len(windows))
	for _, window := range windows {
		tracked := trackedWindow{window, now, now + window.Begins, now + window.Begins + window.Window}
		for _, previous := range previousWindows {
			if previous.Sequence == window.Sequence && previous.Region == window.Region {
				tracked.receivedAt, tracked.startsAt, tracked.endsAt = previous.receivedAt, previous.startsAt, previous.endsAt
			}
		}
		if window.Phase >= PhaseStarted {
			tracked.startsAt = min(tracked.startsAt, now)
			tracked.endsAt = min(tracked.endsAt, tracked.startsAt+window.Window)
		}
		if window.Phase >= PhaseEnded {
			tracked.endsAt = min(tracked.endsAt, now)
		}
		t.windows = append(t.windows, tracked)
	}
}

func (t *Tracker) find(region string) (trackedWindow, bool) {
	index := slices.IndexFunc(t.windows, func(tracked trackedWindow) bool { return tracked.Region == region })
	if index < 0 {
		return trackedWindow{}, false
	}
	return t.windows[index], true
}

// HasActive tells whether any notice is in force.
func (t *Tracker) HasActive() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.windows) > 0
}

// Regions are those under notice.
func (t *Tracker) Regions() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	var regions []string
	for _, tracked := range t.windows {
		regions = append(regions, tracked.Region)
	}
	return regions
}

// HasStarted tells whether a region gets no new work any more.
func (t *Tracker) HasStarted(now clock.Microseconds, region string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	tracked, ok := t.find(region)
	return ok && now >= tracked.startsAt
}

// Phase is how far the notice of a region has come by this daemon's clock.
func (t *Tracker) Phase(now clock.Microseconds, region string) Phase {
	t.lock.Lock()
	defer t.lock.Unlock()
	tracked, ok := t.find(region)
	switch {
	case !ok || now < tracked.startsAt:
		return PhaseAnnounced
	case now < tracked.endsAt:
		return PhaseStarted
	}
	return PhaseEnded
}

// ClosedRegions are the regions that get no new work of a name, which may last until then. The names
// leave one by one over the second half of the time that was told, so that what is at home
// there isn't read anew elsewhere all at once. Work that can't leave later does not begin
// if it may outlast the window.
func (t *Tracker) ClosedRegions(now, until clock.Microseconds, movable bool, name string) map[string]bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	var closed map[string]bool
	for _, tracked := range t.windows {
		closesAt := max(tracked.startsAt-LeadTime, tracked.receivedAt)
		if now >= closesAt-clock.Microseconds(hashFraction(name)*float64(closesAt-tracked.receivedAt)/2) || !movable && until > tracked.endsAt {
			if closed == nil {
				closed = map[string]bool{}
			}
			closed[tracked.Region] = true
		}
	}
	return closed
}

// ShouldMigrate tells whether the moment has come for a session to leave a region. The moments of
// all sessions are spread over the window by their names.
func (t *Tracker) ShouldMigrate(now clock.Microseconds, region, session string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	tracked, ok := t.find(region)
	if !ok || now < tracked.startsAt {
		return false
	}
	return now >= tracked.startsAt+clock.Microseconds(hashFraction(session)*float64(tracked.endsAt-tracked.startsAt))
}

// hashFraction is a name's place between 0 and 1.
func hashFraction(name string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	value := hash.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	return float64(value>>11) / (1 << 53)
}
