package faulttest

import (
	"strings"
	"testing"
)

const slowLog = `  2.5000 edge-1/router {"time":"t","level":"info","priority":0,"end":"late","phase":"prefill_wait","total_ms":500,"message":"slow request"}
  3.1000 edge-2/router {"time":"t","level":"info","priority":0,"end":"late","phase":"prefill_wait","total_ms":700,"message":"slow request"}
  3.2000 edge-2/router {"time":"t","level":"info","router":"r","message":"router is running"}
 13.2000 edge-2/router {"time":"t","priority":1,"end":"not_served","phase":"failed_calls","total_ms":40,"message":"slow request"}
{"time":"t","priority":1,"end":"late","phase":"pause","total_ms":900,"message":"slow request"}
a line about a slow request {"that": "is none"
`

func TestLatenessTable_CountsByWindowAndPhase(t *testing.T) {
	rows, err := latenessTable(strings.NewReader(slowLog), 2)
	if err != nil {
		t.Fatal(err)
	}
	want := []latenessRow{
		{latenessKey{0, 2, "late", "prefill_wait"}, 2, 1200},
		{latenessKey{1, 0, "late", "pause"}, 1, 900},
		{latenessKey{1, 12, "not_served", "failed_calls"}, 1, 40},
	}
	if len(rows) != len(want) {
		t.Fatalf("%+v", rows)
	}
	for index := range want {
		if rows[index] != want[index] {
			t.Errorf("row %d: %+v, not %+v", index, rows[index], want[index])
		}
	}
	var output strings.Builder
	printLateness(&output, rows, 2)
	if !strings.Contains(output.String(), "4 requests late or not served") || !strings.Contains(output.String(), "12-14") {
		t.Error(output.String())
	}
}
