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

// allReporters returns the reporters of which a ledger has counts in a window.
func allReporters(ledger *usage.Ledger, window uint64) []usage.ReporterID {
	var reporters []usage.ReporterID
	for _, digest := range ledger.Digests(window) {
		reporters = append(reporters, digest.Reporter)
	}
	return reporters
}

func totalOf(ledger *usage.Ledger, window uint64) usage.Counts {
	return ledger.Collect(window, allReporters(ledger, window))
}

// Whatever reports are lost, repeated and in which order the rest arrives: the ledger has the greatest count that
// has arrived of each reporter, window and tenant.
func TestLedger_MergesByMaximum(t *testing.T) {
	type key struct {
		reporter usage.ReporterID
		window   uint64
		tenant   string
	}
	rapid.Check(t, func(t *rapid.T) {
		ledger := usage.NewLedger(windows)
		greatest := map[key]uint64{}
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
					greatest[counted] = max(greatest[counted], count)
				}
			}
		}
		want := map[uint64]usage.Counts{99: {}, 100: {}, 101: {}}
		for counted, count := range greatest {
			want[counted.window][counted.tenant] += count
		}
		for window, counts := range want {
			if total := totalOf(ledger, window); !reflect.DeepEqual(total, counts) {
				t.Fatalf("window %d has %v, not %v", window, total, counts)
			}
		}
	})
}

// Ledgers that differ must not have the same digest, or counts would be missing in a collection.
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

func TestLedger_CountsWhatComesTooLate(t *testing.T) {
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
			t.Errorf("%v: %+v, not %d late", test.report, result, test.want)
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
			t.Errorf("window %d: %d dropped, not %d", test.window, result.Dropped, test.dropped)
		}
	}
	ledger.Merge(ledgerNow+5*clock.Second, newReport(1, 101, usage.Counts{"a": 1}))
	if len(ledger.Digests(78)) != 0 || len(ledger.Digests(101)) != 1 {
		t.Error("a window later, the oldest one is not forgotten, or a later one is")
	}
}

// A ledger with too many counts forgets its oldest windows, and then takes no new counts into the current one.
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
		t.Errorf("%d reporters of the earlier window are left", total)
	}
	kept := 0
	for _, reporter := range allReporters(ledger, 101) {
		kept += len(ledger.Collect(101, []usage.ReporterID{reporter}))
	}
	if dropped == 0 || kept > 402_000 || kept < 390_000 {
		t.Errorf("%d counts kept, %d dropped", kept, dropped)
	}
	// What is known already still rises.
	result := ledger.Merge(ledgerNow, newReport(0, 101, usage.Counts{"7": 9}))
	if result.Dropped != 0 || ledger.Collect(101, []usage.ReporterID{0})["7"] != 9 {
		t.Errorf("%+v", result)
	}
}
