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

// Options configures a Task.
type Options struct {
	// Server is the name of this server, and Address its internal address.
	Server    string
	Address   string
	Transport *transport.Internal
	TrueTime  *timesync.Clock
	// Ledger is the usage ledger of this server.
	Ledger  *usageledger.Service
	Windows usage.Windows
	// Delay is the time after the end of a window at which its report is due.
	Delay clock.Microseconds
	// Servers returns the internal addresses of all servers that have a usage ledger, the nearest first.
	Servers func() []string
	// Encode encodes a report for the platform. It must return the same bytes for equal reports.
	Encode func(platformport.UsageReport) []byte
}

// Counters holds counters since the start of the process. Only a server that leads increments them.
type Counters struct {
	// Reported counts the windows for which a report was drafted. Late counts those whose report was drafted after
	// it was due. Partial counts those whose report lacks usage because a server did not answer or its counts could
	// not be fetched.
	Reported atomic.Int64
	Late     atomic.Int64
	Partial  atomic.Int64
	// Skipped counts the windows that were never reported because the backlog exceeded maxBacklog.
	Skipped atomic.Int64
	// TimeUncertain counts how often a window was considered for collection while the estimate of the true time was
	// not reliable.
	TimeUncertain atomic.Int64
}

// AddCounters sets the counters in a map that is keyed by metric name.
func (c *Counters) AddCounters(counters map[string]int64) {
	counters["usage-reported"] = c.Reported.Load()
	counters["usage-reported-late"] = c.Late.Load()
	counters["usage-reported-partial"] = c.Partial.Load()
	counters["usage-skipped"] = c.Skipped.Load()
	counters["usage-waits-for-time"] = c.TimeUncertain.Load()
}
