package maintenance

import (
	"hash/fnv"
	"slices"
	"sync"

	"coursepass/internal/clock"
)

// trackedWindow is a window and its times on this daemon's clock.
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

// advanceTo moves the start of the window to now if the leader has recorded the start before
// this daemon's clock reached it, and moves the end to now if the same is true of the end.
func (w *trackedWindow) advanceTo(phase Phase, now clock.Microseconds) {
	if phase >= PhaseStarted {
		w.startsAt = min(w.startsAt, now)
		w.endsAt = min(w.endsAt, w.startsAt+w.Duration)
	}
	if phase >= PhaseEnded {
		w.endsAt = min(w.endsAt, now)
	}
}

// closesAt returns the time from which the region gets no new work at all.
func (w *trackedWindow) closesAt() clock.Microseconds {
	return max(w.startsAt-LeadTime, w.receivedAt)
}

// closesForNameAt returns the time from which the region gets no new work of a name. These times
// are spread by the hash of the name over the second half of the time between the receipt of
// the window and closesAt.
func (w *trackedWindow) closesForNameAt(name string) clock.Microseconds {
	closesAt := w.closesAt()
	const spreadDivisor = 2
	spread := float64(closesAt-w.receivedAt) / spreadDivisor
	return closesAt - clock.Microseconds(hashFraction(name)*spread)
}

// Tracker holds the current maintenance windows and their times on this daemon's clock. The
// zero value has no windows and is ready to use. A Tracker is safe for concurrent use.
type Tracker struct {
	lock    sync.Mutex
	windows []trackedWindow
}

// Update replaces the current windows. A window that is already known keeps its times, unless
// its recorded phase is later than the phase by this daemon's clock.
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

// HasActive reports whether there is any window, whatever its phase.
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

// HasStarted reports whether the region has a window that has started.
func (t *Tracker) HasStarted(now clock.Microseconds, region string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	tracked, ok := t.find(region)
	return ok && now >= tracked.startsAt
}

// Phase returns the phase of a region's window by this daemon's clock. It returns
// PhaseAnnounced for a region without a window.
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

// Work is new work to be placed in a region.
type Work struct {
	// Name determines when a region closes for the work. A region closes for all work of the same
	// name at the same time.
	Name string
	// EndsBy is the latest time until which the work may run.
	EndsBy clock.Microseconds
	// Movable means that the work can be continued in another region after it has started.
	Movable bool
}

// ClosedRegions returns the regions in which the work must not be placed; nil if there are none. A
// region closes for one name after another over the second half of the time before the window, so
// that the other regions don't have to fill their caches all at once. A region is also closed for
// work that can't be moved and may run beyond the end of the window.
func (t *Tracker) ClosedRegions(now clock.Microseconds, work Work) map[string]bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	var closed map[string]bool
	for _, tracked := range t.windows {
		outlastsWindow := !work.Movable && work.EndsBy > tracked.endsAt
		if now < tracked.closesForNameAt(work.Name) && !outlastsWindow {
			continue
		}
		if closed == nil {
			closed = map[string]bool{}
		}
		closed[tracked.Region] = true
	}
	return closed
}

// ShouldMigrate reports whether a session must leave a region now. The sessions leave one by one
// over the duration of the window, at times that are spread by the hash of the session's name.
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
	// hashBits is the size of the hash in bits.
	hashBits = 64
	// mantissaBits is the precision of a float64 in bits. A float64 represents the upper
	// mantissaBits bits of the hash exactly.
	mantissaBits = 53
)

// hashFraction maps a name to a number in [0, 1). The numbers are evenly distributed, and all
// daemons compute the same number for a name.
func hashFraction(name string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // Write of a hash.Hash never returns an error.
	value := hash.Sum64()
	value ^= value >> mixShift
	value *= mixMultiplier
	value ^= value >> mixShift
	return float64(value>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}
