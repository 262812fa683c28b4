package resources

import (
	"context"
	"encoding/json"
	"math"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
)

// maxReportedProcedures is how many procedures a Reporter logs, those with the most bytes.
const maxReportedProcedures = 8

// logPrecision is the reciprocal of the last digit of logged numbers.
const logPrecision = 1e6

// Reporter logs what a daemon uses, once in each interval.
type Reporter struct {
	// Role and Name are those of the daemon.
	Role string
	Name string
	// Interval is the time between two lines; 0 or less stands for no lines.
	Interval clock.Microseconds
	// Read returns the daemon's present snapshot.
	Read func() Snapshot
}

// Run logs until the context ends.
func (r Reporter) Run(ctx context.Context) {
	if r.Interval <= 0 {
		return
	}
	last := r.Read()
	clock.Every(ctx, r.Interval, func() {
		present := r.Read()
		r.logDifference(present.Since(last))
		last = present
	})
}

// logDifference logs one line with what was used, and one with what the control traffic consists of.
func (r Reporter) logDifference(used Snapshot) {
	open, opened := used.OpenConnections()
	rates := used.Rates()
	line := log.Info().Str("role", r.Role).Str("daemon", r.Name).
		Float64("seconds", rounded(used.Seconds)).
		Float64("cpuSeconds", rounded(used.Process.CPUSeconds))
	for _, count := range used.Traffic {
		line = line.
			Int64(count.Kind+"BytesIn."+count.Zone, count.BytesIn).
			Int64(count.Kind+"BytesOut."+count.Zone, count.BytesOut)
	}
	line.
		Int64("callsBegun", used.Calls(Client)).
		Int64("callsServed", used.Calls(Server)).
		Int64("loopWakeups", used.LoopWakeups).
		Int64("connectionsOpen", open).
		Int64("connectionsOpened", opened).
		Int64("heapBytes", used.Process.HeapBytes).
		Int64("residentBytes", used.Process.ResidentBytes).
		Int64("goroutines", used.Process.Goroutines).
		Float64("processors", rounded(rates.Processors)).
		Float64("controlBytesPerSecond", rounded(rates.ControlBytes)).
		Float64("dataBytesPerSecond", rounded(rates.DataBytes)).
		Float64("wakeupsPerSecond", rounded(rates.Wakeups)).
		Float64("connectionsOpenedPerSecond", rounded(rates.ConnectionsOpened)).
		Msg("resource usage")
	r.logProcedures(used)
}

// rounded rounds a number to the digits that are logged.
func rounded(value float64) float64 { return math.Round(value*logPrecision) / logPrecision }

func (r Reporter) logProcedures(used Snapshot) {
	// Rows of strings and numbers can always be marshalled.
	busiest, _ := json.Marshal(used.BusiestProcedures(maxReportedProcedures))
	log.Info().Str("role", r.Role).Str("daemon", r.Name).
		Float64("seconds", rounded(used.Seconds)).
		RawJSON("procedures", busiest).
		Msg("control traffic by procedure")
}
