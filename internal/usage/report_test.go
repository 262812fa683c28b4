package usage_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/errcode"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

// drawCounts draws counts of up to four tenants.
func drawCounts(t *rapid.T) usage.Counts {
	tenant := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	return rapid.MapOfN(tenant, rapid.Uint64Range(1, 20), 0, 4).Draw(t, "counts")
}

func TestReport_WireFormReturnsSameReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := usage.Report{Reporter: usage.ReporterID(rapid.Uint64().Draw(t, "reporter")), Windows: map[uint64]usage.Counts{}}
		for range rapid.IntRange(0, 4).Draw(t, "windows") {
			sent.Windows[rapid.Uint64Range(100, 110).Draw(t, "window")] = drawCounts(t)
		}
		full, short, err := transport.WireForms(&sent)
		if err != nil {
			t.Fatal(err)
		}
		var fromFull, fromShort usage.Report
		if err := transport.ReadWireForms(full, short, &fromFull, &fromShort); err != nil {
			t.Fatal(err)
		}
		for _, received := range []usage.Report{fromFull, fromShort} {
			if !reflect.DeepEqual(received, sent) {
				t.Fatalf("received %v, sent %v", received, sent)
			}
		}
	})
}

func TestReport_RejectsInconsistentReports(t *testing.T) {
	row := usage.CountsRow{Positions: []uint32{0}, Counts: []uint64{1}}
	tableOf := func(rows ...usage.CountsRow) usage.CountsTable {
		return usage.CountsTable{Tenants: []string{"a"}, Rows: rows}
	}
	for name, wire := range map[string]usage.ReportWire{
		"a tenant position out of range": {
			Windows: []uint64{1}, Table: tableOf(usage.CountsRow{Positions: []uint32{1}, Counts: []uint64{1}}),
		},
		"a count without a tenant": {
			Windows: []uint64{1}, Table: tableOf(usage.CountsRow{Positions: []uint32{0}, Counts: []uint64{1, 2}}),
		},
		"a repeated window":       {Windows: []uint64{1, 1}, Table: tableOf(row, row)},
		"a window without counts": {Windows: []uint64{1, 2}, Table: tableOf(row)},
		"counts without a window": {Windows: []uint64{1}, Table: tableOf(row, row)},
	} {
		report := usage.Report{Reporter: 9}
		err := report.FromWire(&wire)
		if errcode.CodeOf(err, 0) != errcode.MalformedMessage || report.Reporter != 9 {
			t.Errorf("%s: error %v and report %+v, want MalformedMessage and an unchanged report", name, err, report)
		}
	}
}

func TestReporterID_DiffersByNameAndIncarnation(t *testing.T) {
	known := map[usage.ReporterID]bool{}
	for number := range 500 {
		for incarnation := range uint64(20) {
			known[usage.NewReporterID(fmt.Sprint("router-", number), incarnation)] = true
		}
	}
	if len(known) != 500*20 {
		t.Errorf("%d distinct IDs of %d incarnations", len(known), 500*20)
	}
}

// The bound on the bytes that a router sends depends on the size of a report. The report has 14 requests of 14 tenants,
// which is the load of a router at the target fleet size in a quarter of a second.
func TestReport_IsSmall(t *testing.T) {
	report := usage.Report{Reporter: usage.NewReporterID("edge-1-router", 1), Windows: map[uint64]usage.Counts{}}
	report.Windows[353_445_120] = usage.Counts{}
	for number := range 14 {
		report.Windows[353_445_120][fmt.Sprintf("nowu%03d", 600+number)] = 1
	}
	_, short, err := transport.WireForms(&report)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the report has %d bytes", len(short))
	if len(short) > 200 {
		t.Errorf("the report has %d bytes for 14 tenants, want at most 200", len(short))
	}
}
