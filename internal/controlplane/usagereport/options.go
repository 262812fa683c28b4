package usagereport

import (
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/usageledger"
	"coursepass/internal/platformport"
	"coursepass/internal/timesync"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

// Options of a Task.
type Options struct {
	// Server is the name of this server, and Address its internal address.
	Server    string
	Address   string
	Transport *transport.Internal
	TrueTime  *timesync.Clock
	// Ledger is that of this server.
	Ledger  *usageledger.Service
	Windows usage.Windows
	// Delay is how long after its end a window is to be reported.
	Delay clock.Microseconds
	// Servers returns the internal addresses of all servers that keep usage, the nearest first.
	Servers func() []string
	// Encode encodes a report for the platform. Equal reports have equal encodings.
	Encode func(platformport.UsageReport) []byte
}

// Counters count since the start of the process, at the server that led at the time.
type Counters struct {
	// Reported counts the windows for which a report was drafted; Late those of them that were drafted after the
	// report was due; Partial those for which a server was not heard, or had counts that could not be fetched.
	Reported atomic.Int64
	Late     atomic.Int64
	Partial  atomic.Int64
	// Skipped counts the windows that were given up since too many were waiting.
	Skipped atomic.Int64
	// TimeUncertain counts the looks at a window while the true time was not known well enough.
	TimeUncertain atomic.Int64
}

// AddCounters adds the counters by the names under which they are shown.
func (c *Counters) AddCounters(counters map[string]int64) {
	counters["usage-reported"] = c.Reported.Load()
	counters["usage-reported-late"] = c.Late.Load()
	counters["usage-reported-partial"] = c.Partial.Load()
	counters["usage-skipped"] = c.Skipped.Load()
	counters["usage-waits-for-time"] = c.TimeUncertain.Load()
}
