package maintenance

import (
	"hash/fnv"
	"slices"
	"sync"

	"coursepass/internal/clock"
)

// trackedWindow is a window with its times on this daemon's clock.
type trackedWindow struct {
	Window
	receivedAt clock.Microseconds
	startsAt   clock.Microseconds
	endsAt     clock.Microseconds
}

func newTrackedWindow(now clock.Microseconds, window Window) trackedWindow {
	startsAt := now + window.StartsAfter
	return trackedWindow{Window: window, receivedAt: now, startsAt: startsAt, endsAt: startsAt + window.Duration}
}

// advanceTo moves the times forward to match the phase that the leader recorded.
func (w *trackedWindow) advanceTo(phase Phase, now clock.Microseconds) {
	if phase >= PhaseStarted {
		w.startsAt = min(w.startsAt, now)
		w.endsAt = min(w.endsAt, w.startsAt+w.Duration)
	}
	if phase >= PhaseEnded {
		w.endsAt = min(w.endsAt, now)
	}
}

// closesAt is when the region gets no new work any more.
func (w *trackedWindow) closesAt() clock.Microseconds {
	return max(w.startsAt-LeadTime, w.receivedAt)
}

// closesForAt is when the region gets no new work of a name any more: at a moment in the
// second half of the time until closesAt, spread by name.
func (w *trackedWindow) closesForAt(name string) clock.Microseconds {
	closesAt := w.closesAt()
	const spreadDivisor = 2
	spread := float64(closesAt-w.receivedAt) / spreadDivisor
	return closesAt - clock.Microseconds(hashFraction(name)*spread)
}

// Tracker holds the maintenance windows in force with their times on this daemon's clock. The
// zero value has none. It is safe for concurrent use.
type Tracker struct {
	lock    sync.Mutex
	windows []trackedWindow
}

// Update replaces the windows in force. One that is known keeps its times, unless its phase is
// later than this daemon expected.
func (t *Tracker) Update(now clock.Microseconds, windows []Window) {
	t.lock.Lock()
	defer t.lock.Unlock()
	previousWindows := t.windows
	t.windows = make([]trackedWindow, 0, len(windows))
	for _, window := range windows {
		tracked := newTrackedWindow(now, window)
		for _, previous := range previousWindows {
			if previous.Revision == window.Revision && previous.Region == window.Region {
				tracked.receivedAt = previous.receivedAt
				tracked.startsAt = previous.startsAt
				tracked.endsAt = previous.endsAt
			}
		}
		tracked.advanceTo(window.Phase, now)
		t.windows = append(t.windows, tracked)
	}
}

// find returns the window of a region. The caller holds the lock.
func (t *Tracker) find(region string) (trackedWindow, bool) {
	index := slices.IndexFunc(t.windows, func(tracked trackedWindow) bool { return tracked.Region == region })
	if index < 0 {
		return trackedWindow{}, false
	}
	return t.windows[index], true
}

// HasActive reports whether any window is in force.
func (t *Tracker) HasActive() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.windows) > 0
}

// Regions returns the regions with a window.
func (t *Tracker) Regions() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	var regions []string
	for _, tracked := range t.windows {
		regions = append(regions, tracked.Region)
	}
	return regions
}

// HasStarted reports whether the window of a region has begun.
func (t *Tracker) HasStarted(now clock.Microseconds, region string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	tracked, ok := t.find(region)
	return ok && now >= tracked.startsAt
}

// Phase returns the phase of a region's window by this daemon's clock.
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

// Work is new work that a region is to get.
type Work struct {
	// Name is what the work is spread by: works of the same name leave a region together.
	Name string
	// EndsBy is until when the work may run.
	EndsBy clock.Microseconds
	// Movable work can be continued in another region once it has begun.
	Movable bool
}

// ClosedRegions returns the regions that don't get the work. The names leave one by one over the
// second half of the time before the window, so that other regions don't have to fill their caches
// all at once. Work that can't be moved doesn't begin if it may outlast the window.
func (t *Tracker) ClosedRegions(now clock.Microseconds, work Work) map[string]bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	var closed map[string]bool
	for _, tracked := range t.windows {
		outlastsWindow := !work.Movable && work.EndsBy > tracked.endsAt
		if now < tracked.closesForAt(work.Name) && !outlastsWindow {
			continue
		}
		if closed == nil {
			closed = map[string]bool{}
		}
		closed[tracked.Region] = true
	}
	return closed
}

// ShouldMigrate reports whether a session must leave a region by now. The sessions leave one
// by one over the window, spread by name.
func (t *Tracker) ShouldMigrate(now clock.Microseconds, region, session string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	tracked, ok := t.find(region)
	if !ok || now < tracked.startsAt {
		return false
	}
	duration := float64(tracked.endsAt - tracked.startsAt)
	return now >= tracked.startsAt+clock.Microseconds(hashFraction(session)*duration)
}

// The constants of the bit mixer: the first round of MurmurHash3's 64-bit finalizer.
const (
	mixShift      = 33
	mixMultiplier = 0xff51afd7ed558ccd
	// hashBits is the size of a hash, mantissaBits the precision of a float64: so many of the
	// hash's upper bits give an exact fraction.
	hashBits     = 64
	mantissaBits = 53
)

// hashFraction maps a name to a number from 0 to below 1, evenly and the same in all daemons.
func hashFraction(name string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // A hash never fails to write.
	value := hash.Sum64()
	value ^= value >> mixShift
	value *= mixMultiplier
	value ^= value >> mixShift
	return float64(value>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}
