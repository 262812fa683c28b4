package usage

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
)

const (
	// ledgerWindows is the number of windows that a ledger retains, including the current one.
	ledgerWindows = 24
	// maxFutureWindows is the number of windows ahead of the current one that a ledger accepts, because the clocks of a
	// router and of a server may differ at the boundary between two windows.
	maxFutureWindows = 2
	// maxLedgerCounts is the number of counts, one per window, reporter and tenant, above which a ledger deletes its
	// oldest windows and accepts no additional counts.
	maxLedgerCounts = 400_000
)

// Digest identifies the counts of a reporter in a window. Two ledgers with equal digests have equal counts, except for
// hash collisions.
type Digest struct {
	Reporter ReporterID
	Hash     uint64
}

// MergeResult describes the counts of a report that arrived too late or were dropped.
type MergeResult struct {
	// Late is the number of requests by which the report increased the counts of windows that were already collected.
	Late uint64
	// Dropped is the number of counts that were dropped because their windows are too old or too far ahead, or because
	// the ledger has too many counts.
	Dropped uint64
}

// windowLedger holds the counts of one window.
type windowLedger struct {
	reporters map[ReporterID]Counts
	// total is the number of counts of all reporters.
	total int
	// collected is set once the counts have been read by Collect.
	collected bool
}

// Ledger stores the counts of many reporters. It is not safe for concurrent use.
type Ledger struct {
	windows  Windows
	byWindow map[uint64]*windowLedger
	// total is the number of counts in all windows.
	total int
}

// NewLedger returns an empty ledger.
func NewLedger(windows Windows) *Ledger {
	return &Ledger{windows: windows, byWindow: map[uint64]*windowLedger{}}
}

// Merge merges a report into the ledger by taking the maximum of each count. The argument now is the true time, which
// determines the windows that are retained.
func (l *Ledger) Merge(now clock.Microseconds, report Report) MergeResult {
	current := l.windows.At(now)
	l.deleteOldWindows(current)
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

// isRetained reports whether a ledger retains a window when current is the current window.
func isRetained(window, current uint64) bool {
	return window+ledgerWindows > current && window <= current+maxFutureWindows
}

// deleteOldWindows deletes the windows that are outside the retained range. While the ledger has more than
// maxLedgerCounts counts, it also deletes the oldest windows before the current one.
func (l *Ledger) deleteOldWindows(current uint64) {
	for _, window := range slices.Sorted(maps.Keys(l.byWindow)) {
		if !isRetained(window, current) || l.total > maxLedgerCounts && window < current {
			l.total -= l.byWindow[window].total
			delete(l.byWindow, window)
		}
	}
}

// mergeWindow merges the counts of a reporter in a window, and adds the late and dropped counts to result.
func (l *Ledger) mergeWindow(window uint64, reporter ReporterID, counts Counts, result *MergeResult) {
	ledger := l.byWindow[window]
	if ledger == nil {
		ledger = &windowLedger{reporters: map[ReporterID]Counts{}}
		l.byWindow[window] = ledger
	}
	stored := ledger.reporters[reporter]
	if stored == nil {
		stored = Counts{}
		ledger.reporters[reporter] = stored
	}
	for tenant, count := range counts {
		previous, exists := stored[tenant]
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
		stored[tenant] = max(count, previous)
	}
}

// Digests returns the digests of all reporters that have counts in a window, sorted by reporter.
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

// Collect returns the sum of the counts of the given reporters in a window, and marks the window as collected.
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
