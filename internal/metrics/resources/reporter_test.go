package resources_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/metrics/resources"
)

// captureLog runs a function and returns the lines that the function logs.
func captureLog(t *testing.T, run func()) []string {
	t.Helper()
	previous := log.DefaultLogger
	defer func() { log.DefaultLogger = previous }()
	captured := &bytes.Buffer{}
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: captured}}
	run()
	return strings.Split(strings.TrimSuffix(captured.String(), "\n"), "\n")
}

func TestReporter_LogsDifferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counters resources.Counters
		localClock := clock.New()
		reporter := resources.Reporter{
			Role:     "router",
			Name:     "router-1",
			Interval: 10 * clock.Second,
			Read:     func() resources.Snapshot { return counters.Snapshot(localClock.Now()) },
		}
		heads := counters.Procedure(resources.Client, "/heads")
		heads.Calls.Add(1000)
		lines := captureLog(t, func() {
			ctx, cancel := context.WithTimeout(clock.CountWakeups(t.Context(), &counters.LoopWakeups), 25*time.Second)
			defer cancel()
			go func() {
				time.Sleep(12 * time.Second)
				heads.Calls.Add(30)
				connection := counters.Open(resources.Client, resources.Control, func() resources.Zone { return resources.OtherZone })
				connection.Begin(heads)
				_, _ = connection.Write(&bytes.Buffer{}, make([]byte, 400))
			}()
			reporter.Run(ctx)
		})
		if len(lines) != 4 {
			t.Fatalf("%d log lines, want two for each of two intervals: %s", len(lines), lines)
		}
		requireFields(t, lines[0], map[string]any{
			"message": "resource usage", "role": "router", "daemon": "router-1", "seconds": 10.0,
			"callsBegun": 0.0, "loopWakeups": 1.0, "controlBytesOut.other": 0.0,
		})
		requireFields(t, lines[2], map[string]any{
			"message": "resource usage", "seconds": 10.0, "callsBegun": 30.0, "callsServed": 0.0,
			"loopWakeups": 1.0, "controlBytesOut.other": 400.0, "controlBytesIn.same": 0.0, "dataBytesIn.unknown": 0.0,
			"connectionsOpen": 1.0, "connectionsOpened": 1.0, "controlBytesPerSecond": 40.0, "wakeupsPerSecond": 3.1,
		})
		requireFields(t, lines[3], map[string]any{
			"message": "control traffic by procedure", "role": "router", "daemon": "router-1", "seconds": 10.0,
			"procedures": []any{map[string]any{
				"procedure": "/heads", "side": "client", "calls": 30.0, "bytesIn": 0.0, "bytesOut": 400.0,
			}},
		})
	})
}

// requireFields compares the wanted fields of a log line. Wanted numbers are float64, as decoded from JSON. A
// line on resource usage must also have the fields on the process, whose values vary.
func requireFields(t *testing.T, line string, want map[string]any) {
	t.Helper()
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	for name, value := range want {
		expected, _ := json.Marshal(value)
		got, _ := json.Marshal(fields[name])
		if string(got) != string(expected) {
			t.Errorf("field %s is %s, want %s", name, got, expected)
		}
	}
	for _, name := range []string{"cpuSeconds", "heapBytes", "residentBytes", "goroutines"} {
		if _, shown := fields[name]; !shown && fields["message"] == "resource usage" {
			t.Errorf("field %s is missing", name)
		}
	}
}

func TestReporter_OffByDefault(t *testing.T) {
	for _, interval := range []clock.Microseconds{0, -clock.Second} {
		reporter := resources.Reporter{Interval: interval, Read: func() resources.Snapshot {
			t.Error("a disabled reporter read the counters")
			return resources.Snapshot{}
		}}
		reporter.Run(t.Context())
	}
}
