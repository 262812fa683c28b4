package usage

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
)

const (
	// retainedWindows is how many windows a ledger retains, the current one included.
	retainedWindows = 24
	// futureWindows is how many windows ahead of the current one a ledger accepts: the clocks of a router and of a
	// server need not agree at a border.
	futureWindows = 2
	// maxLedgerCounts bounds the counts of a ledger. With too many the oldest windows are forgotten.
	maxLedgerCounts = 400_000
)

// Digest stands for the counts of a reporter in a window: two ledgers with the same digest have the same counts.
type Digest struct {
	Reporter ReporterID
	Hash     uint64
}

// MergeResult says what became of the counts in a report that changed nothing, or that came too late.
type MergeResult struct {
	// Late is by how much the counts of windows have risen that were collected before.
	Late uint64
	// Dropped is how many counts were dropped: of windows that are too old or too far ahead, or since there are
	// too many.
	Dropped uint64
}

// windowLedger are the counts of one window.
type windowLedger struct {
	reporters map[ReporterID]Counts
	total     int
	// collected says that somebody has read the counts to report them.
	collected bool
}

// Ledger keeps the counts of many reporters. It is not safe for concurrent use.
type Ledger struct {
	windows  Windows
	byWindow map[uint64]*windowLedger
	total    int
}

// NewLedger returns an empty ledger.
func NewLedger(windows Windows) *Ledger {
	return &Ledger{windows: windows, byWindow: map[uint64]*windowLedger{}}
}

// Merge takes over the counts of a report that are greater than those known, as of a true time.
func (l *Ledger) Merge(now clock.Microseconds, report Report) MergeResult {
	current := l.windows.At(now)
	l.forgetOldWindows(current)
	var result MergeResult
	for window, counts := range report.Windows {
		if !isRetained(window, current) {
			result.Dropped += uint64(len(counts))
			continue
		}
		l.mergeWindow(window, report.Reporter, counts, &result)
	}
	return result
}

func isRetained(window, current uint64) bool {
	return window+retainedWindows > current && window <= current+futureWindows
}

// forgetOldWindows forgets the windows that are not retained, and the oldest ones while there are too many counts.
func (l *Ledger) forgetOldWindows(current uint64) {
	for _, window := range slices.Sorted(maps.Keys(l.byWindow)) {
		if !isRetained(window, current) || l.total > maxLedgerCounts && window < current {
			l.total -= l.byWindow[window].total
			delete(l.byWindow, window)
		}
	}
}

func (l *Ledger) mergeWindow(window uint64, reporter ReporterID, counts Counts, result *MergeResult) {
	ledger := l.byWindow[window]
	if ledger == nil {
		ledger = &windowLedger{reporters: map[ReporterID]Counts{}}
		l.byWindow[window] = ledger
	}
	known := ledger.reporters[reporter]
	if known == nil {
		known = Counts{}
		ledger.reporters[reporter] = known
	}
	for tenant, count := range counts {
		previous, exists := known[tenant]
		if !exists && l.total > maxLedgerCounts {
			result.Dropped++
			continue
		}
		if !exists {
			ledger.total++
			l.total++
		}
		if count > previous && ledger.collected {
			result.Late += count - previous
		}
		known[tenant] = max(count, previous)
	}
}

// Digests returns the digests of all reporters with counts in a window, sorted by reporter.
func (l *Ledger) Digests(window uint64) []Digest {
	ledger := l.byWindow[window]
	if ledger == nil {
		return nil
	}
	digests := make([]Digest, 0, len(ledger.reporters))
	for _, reporter := range slices.Sorted(maps.Keys(ledger.reporters)) {
		digests = append(digests, Digest{Reporter: reporter, Hash: ledger.reporters[reporter].hash()})
	}
	return digests
}

// Collect returns the sum of the counts of some reporters in a window, which counts as collected from then on.
func (l *Ledger) Collect(window uint64, reporters []ReporterID) Counts {
	sum := Counts{}
	ledger := l.byWindow[window]
	if ledger == nil {
		return sum
	}
	ledger.collected = true
	for _, reporter := range reporters {
		sum.Add(ledger.reporters[reporter])
	}
	return sum
}
