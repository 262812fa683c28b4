package usage_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/clock"
	"coursepass/internal/usage"
)

const ledgerNow = 505 * clock.Second

func newReport(reporter usage.ReporterID, window uint64, counts usage.Counts) usage.Report {
	return usage.Report{Reporter: reporter, Windows: map[uint64]usage.Counts{window: counts}}
}

// allReporters returns the reporters whose counts in a window are stored in a ledger.
func allReporters(ledger *usage.Ledger, window uint64) []usage.ReporterID {
	var reporters []usage.ReporterID
	for _, digest := range ledger.Digests(window) {
		reporters = append(reporters, digest.Reporter)
	}
	return reporters
}

// totalOf returns the total counts of a window in a ledger.
func totalOf(ledger *usage.Ledger, window uint64) usage.Counts {
	return ledger.Collect(window, allReporters(ledger, window))
}

// Reports may be lost, repeated and reordered. A ledger must have the maximum of the counts that it has received for
// each reporter, window and tenant.
func TestLedger_MergesByMaximum(t *testing.T) {
	type key struct {
		reporter usage.ReporterID
		window   uint64
		tenant   string
	}
	rapid.Check(t, func(t *rapid.T) {
		ledger := usage.NewLedger(windows)
		maxima := map[key]uint64{}
		var sent []usage.Report
		for range rapid.IntRange(0, 30).Draw(t, "reports") {
			report := newReport(usage.ReporterID(rapid.Uint64Range(1, 3).Draw(t, "reporter")),
				rapid.Uint64Range(99, 101).Draw(t, "window"), drawCounts(t))
			sent = append(sent, report)
			if len(sent) > 1 && rapid.Bool().Draw(t, "repeats an earlier one") {
				report = sent[rapid.IntRange(0, len(sent)-2).Draw(t, "which")]
			}
			ledger.Merge(ledgerNow, report)
			for window, counts := range report.Windows {
				for tenant, count := range counts {
					counted := key{report.Reporter, window, tenant}
					maxima[counted] = max(maxima[counted], count)
				}
			}
		}
		want := map[uint64]usage.Counts{99: {}, 100: {}, 101: {}}
		for counted, count := range maxima {
			want[counted.window][counted.tenant] += count
		}
		for window, counts := range want {
			if total := totalOf(ledger, window); !reflect.DeepEqual(total, counts) {
				t.Fatalf("window %d has counts %v, want %v", window, total, counts)
			}
		}
	})
}

// Ledgers with different counts must have different digests: a collection reads only one of the ledgers with equal
// digests, so that the counts of the others would be missing.
func TestLedger_DigestsDiffer(t *testing.T) {
	known := map[uint64]usage.Counts{}
	add := func(counts usage.Counts) {
		ledger := usage.NewLedger(windows)
		ledger.Merge(ledgerNow, newReport(1, 100, counts))
		hash := ledger.Digests(100)[0].Hash
		if other, collides := known[hash]; collides {
			t.Fatalf("%v and %v have the same digest", counts, other)
		}
		known[hash] = counts
	}
	for first := range uint64(60) {
		for second := range uint64(60) {
			add(usage.Counts{"a": first, "b": second})
			add(usage.Counts{"a": first, "c": second})
		}
	}
	for number := range 1000 {
		add(usage.Counts{fmt.Sprint("tenant-", number): 1})
	}
}

func TestLedger_CountsLateReports(t *testing.T) {
	ledger := usage.NewLedger(windows)
	ledger.Merge(ledgerNow, newReport(1, 100, usage.Counts{"a": 2, "b": 1}))
	ledger.Collect(100, []usage.ReporterID{1})
	for _, test := range []struct {
		report usage.Report
		want   uint64
	}{
		{newReport(1, 100, usage.Counts{"a": 2}), 0},
		{newReport(1, 100, usage.Counts{"a": 5}), 3},
		{newReport(2, 100, usage.Counts{"a": 4}), 4},
		{newReport(1, 101, usage.Counts{"a": 4}), 0},
	} {
		if result := ledger.Merge(ledgerNow, test.report); result.Late != test.want || result.Dropped != 0 {
			t.Errorf("%v: result %+v, want %d late and none dropped", test.report, result, test.want)
		}
	}
}

func TestLedger_DropsWindowsOutOfRange(t *testing.T) {
	ledger := usage.NewLedger(windows)
	for _, test := range []struct {
		window  uint64
		dropped uint64
	}{{77, 2}, {78, 0}, {101, 0}, {103, 0}, {104, 2}} {
		result := ledger.Merge(ledgerNow, newReport(1, test.window, usage.Counts{"a": 1, "b": 1}))
		if result.Dropped != test.dropped {
			t.Errorf("window %d: %d counts dropped, want %d", test.window, result.Dropped, test.dropped)
		}
	}
	ledger.Merge(ledgerNow+5*clock.Second, newReport(1, 101, usage.Counts{"a": 1}))
	if len(ledger.Digests(78)) != 0 || len(ledger.Digests(101)) != 1 {
		t.Error("one window later, the ledger must have deleted window 78 and retained window 101")
	}
}

// A ledger with too many counts must delete its oldest windows and then accept no new counts in the current window.
func TestLedger_IsBounded(t *testing.T) {
	ledger := usage.NewLedger(windows)
	dropped := uint64(0)
	for reporter := range usage.ReporterID(250) {
		for _, window := range []uint64{100, 101} {
			counts := usage.Counts{}
			for tenant := range 2000 {
				counts[fmt.Sprint(tenant)] = 1
			}
			dropped += ledger.Merge(ledgerNow, newReport(reporter, window, counts)).Dropped
		}
	}
	if total := len(allReporters(ledger, 100)); total > 60 {
		t.Errorf("%d reporters are left in the earlier window, want at most 60", total)
	}
	kept := 0
	for _, reporter := range allReporters(ledger, 101) {
		kept += len(ledger.Collect(101, []usage.ReporterID{reporter}))
	}
	if dropped == 0 || kept > 402_000 || kept < 390_000 {
		t.Errorf("%d counts retained, %d dropped, want 390000 to 402000 retained and some dropped", kept, dropped)
	}
	// Counts that are already stored must still increase.
	result := ledger.Merge(ledgerNow, newReport(0, 101, usage.Counts{"7": 9}))
	if result.Dropped != 0 || ledger.Collect(101, []usage.ReporterID{0})["7"] != 9 {
		t.Errorf("the ledger did not accept an increase of a stored count: %+v", result)
	}
}
