package resources

import (
	"context"
	"encoding/json"
	"math"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
)

// maxReportedProcedures is the maximum number of procedures that a [Reporter] logs for each interval. The
// procedures with the most bytes are logged.
const maxReportedProcedures = 8

// logPrecision is the reciprocal of the smallest step of logged numbers: 1e6 keeps six decimal places.
const logPrecision = 1e6

// Reporter logs the resource usage of a daemon, once per interval.
type Reporter struct {
	// Role is the role of the daemon.
	Role string
	// Name is the name of the daemon.
	Name string
	// Interval is the time between two reports. A value of 0 or less disables the reporter.
	Interval clock.Microseconds
	// Read returns the current snapshot of the daemon.
	Read func() Snapshot
}

// Run logs the resource usage of each interval until the context ends.
func (r Reporter) Run(ctx context.Context) {
	if r.Interval <= 0 {
		return
	}
	previous := r.Read()
	clock.Every(ctx, r.Interval, func() {
		current := r.Read()
		r.logDifference(current.Since(previous))
		previous = current
	})
}

// logDifference logs one line with the resource usage of an interval, and one line with its control traffic by
// procedure.
func (r Reporter) logDifference(usage Snapshot) {
	open, opened := usage.OpenConnections()
	rates := usage.Rates()
	line := log.Info().Str("role", r.Role).Str("daemon", r.Name).
		Float64("seconds", roundForLog(usage.Seconds)).
		Float64("cpuSeconds", roundForLog(usage.Process.CPUSeconds))
	for _, count := range usage.Traffic {
		line = line.
			Int64(count.Kind+"BytesIn."+count.Zone, count.BytesIn).
			Int64(count.Kind+"BytesOut."+count.Zone, count.BytesOut)
	}
	line.
		Int64("callsBegun", usage.Calls(Client)).
		Int64("callsServed", usage.Calls(Server)).
		Int64("loopWakeups", usage.LoopWakeups).
		Int64("connectionsOpen", open).
		Int64("connectionsOpened", opened).
		Int64("heapBytes", usage.Process.HeapBytes).
		Int64("residentBytes", usage.Process.ResidentBytes).
		Int64("goroutines", usage.Process.Goroutines).
		Float64("processors", roundForLog(rates.Processors)).
		Float64("controlBytesPerSecond", roundForLog(rates.ControlBytes)).
		Float64("dataBytesPerSecond", roundForLog(rates.DataBytes)).
		Float64("wakeupsPerSecond", roundForLog(rates.Wakeups)).
		Float64("connectionsOpenedPerSecond", roundForLog(rates.ConnectionsOpened)).
		Msg("resource usage")
	r.logProcedures(usage)
}

// roundForLog rounds a number to the precision of the log.
func roundForLog(value float64) float64 { return math.Round(value*logPrecision) / logPrecision }

// logProcedures logs the procedures with the most bytes.
func (r Reporter) logProcedures(usage Snapshot) {
	// Marshalling cannot fail because the rows hold only strings and integers.
	busiest, _ := json.Marshal(usage.BusiestProcedures(maxReportedProcedures))
	log.Info().Str("role", r.Role).Str("daemon", r.Name).
		Float64("seconds", roundForLog(usage.Seconds)).
		RawJSON("procedures", busiest).
		Msg("control traffic by procedure")
}
