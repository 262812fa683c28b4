package proxy

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Counters count events since the start of the proxy. Only the proxy adds to them.
type Counters struct {
	// Received counts requests; Completed, Rejected, Unknown, Truncated and Canceled count their
	// ends, NoRoute those that no route matched, Unauthenticated those without a key in force.
	Received  atomic.Int64
	Completed atomic.Int64
	Rejected  atomic.Int64
	// Unknown counts requests that ended without a response and may have run.
	Unknown atomic.Int64
	// Truncated counts responses that ended early after their head was sent.
	Truncated atomic.Int64
	// Canceled counts requests that ended since the client left or their deadline passed.
	Canceled        atomic.Int64
	NoRoute         atomic.Int64
	Unauthenticated atomic.Int64
	// NoEngine counts requests that were rejected since no engine was eligible, Queued the waits
	// for one with a free slot.
	NoEngine atomic.Int64
	Queued   atomic.Int64
	// Split counts runs whose prompt another engine prefilled, Unsplit all others.
	Split   atomic.Int64
	Unsplit atomic.Int64
	// PlacedByOwner counts selections of engines that a placement owner made, PlacedAlone those of requests
	// with a prompt that this router made by itself.
	PlacedByOwner atomic.Int64
	PlacedAlone   atomic.Int64
	// EngineReports counts the reports of other routers about engines that this router owns.
	EngineReports atomic.Int64
	// Retries counts requests sent again after they may have run, Resumed streams that another
	// engine continued.
	Retries atomic.Int64
	Resumed atomic.Int64
	// RetryBudgetExhausted counts arrivals for which the retry budget had no token.
	RetryBudgetExhausted atomic.Int64
	// LeftForOthers counts requests that were rejected since they would have paused other responses.
	LeftForOthers atomic.Int64
	// NotStarted counts runs that are proven not to have started.
	NotStarted atomic.Int64
	// EngineFailures counts calls that an engine failed, TimedOut calls that a watchdog canceled.
	EngineFailures atomic.Int64
	TimedOut       atomic.Int64
	// KVReleased counts KV caches that were given back unused.
	KVReleased atomic.Int64
	// InvalidTransitions counts changes of a request's state that Transitions does not allow: each
	// is a fault of this package.
	InvalidTransitions atomic.Int64
	// Migrated counts streams that were moved out of a region under maintenance, MigrationsAborted
	// attempts at that after which the stream stayed for the time being.
	Migrated          atomic.Int64
	MigrationsAborted atomic.Int64
}

// CounterValues returns the counters by the names under which operators see them.
func (p *Proxy) CounterValues() map[string]int64 {
	return map[string]int64{
		"received":       p.Received.Load(),
		"finished":       p.Completed.Load(),
		"declined":       p.Rejected.Load(),
		"unknown":        p.Unknown.Load(),
		"cut":            p.Truncated.Load(),
		"read-apart":     p.Split.Load(),
		"read-by-makers": p.Unsplit.Load(),
		"repeats":        p.Retries.Load(),
		"resumed":        p.Resumed.Load(),
		"unstarted":      p.NotStarted.Load(),
		"mishaps":        p.EngineFailures.Load(),
		"silent":         p.TimedOut.Load(),
		"astray":         p.InvalidTransitions.Load(),
		"no-route":       p.NoRoute.Load(),
		"no-credential":  p.Unauthenticated.Load(),
		"no-engine":      p.NoEngine.Load(),
		"waited":         p.Queued.Load(),
		"freed":          p.KVReleased.Load(),
		"repeats-spent":  p.RetryBudgetExhausted.Load(),
		"left":           p.Canceled.Load(),

		"placed-by-owner":    p.PlacedByOwner.Load(),
		"placed-alone":       p.PlacedAlone.Load(),
		"left-for-others":    p.LeftForOthers.Load(),
		"engine-reports":     p.EngineReports.Load(),
		"owned-engines":      p.placements.ownedEngineCount(),
		"migrated":           p.Migrated.Load(),
		"migrations-aborted": p.MigrationsAborted.Load(),
	}
}

// Collectors returns the proxy's Prometheus metrics.
func (p *Proxy) Collectors() []prometheus.Collector {
	return append(p.timing.collectors(), p.startLatency, p.placements.results)
}
