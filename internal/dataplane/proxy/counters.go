package proxy

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Counters counts events since the start of the proxy. Only this package changes the counters.
type Counters struct {
	// Received counts all requests.
	Received atomic.Int64
	// Completed counts requests whose complete response was relayed.
	Completed atomic.Int64
	// Rejected counts requests that were rejected, are proven not to have run, and are not counted by
	// NoRoute or Unauthenticated.
	Rejected atomic.Int64
	// Unknown counts requests that ended without a response and may have run.
	Unknown atomic.Int64
	// Truncated counts responses that ended early after their head was sent.
	Truncated atomic.Int64
	// Canceled counts requests that ended because the client disconnected, the deadline passed or an
	// engine truncated a response that is not a stream. They are also counted by Rejected, Unknown or
	// Truncated.
	Canceled atomic.Int64
	// NoRoute counts requests that were rejected because no route matched.
	NoRoute atomic.Int64
	// Unauthenticated counts requests that were rejected because they had no valid API key.
	Unauthenticated atomic.Int64
	// NoEngine counts requests that ended because no engine was eligible.
	NoEngine atomic.Int64
	// Queued counts the waits of queueInterval that requests spent in the queue.
	Queued atomic.Int64
	// Split counts generate calls that fetch a KV cache from a prefill engine.
	Split atomic.Int64
	// Unsplit counts all other generate calls.
	Unsplit atomic.Int64
	// PlacedByOwner counts selections of engines made by a placement owner.
	PlacedByOwner atomic.Int64
	// PlacedAlone counts selections that an owner could have made, but this router made itself.
	PlacedAlone atomic.Int64
	// EngineReports counts the well-formed reports that this router received as the owner of an engine.
	EngineReports atomic.Int64
	// Retries counts requests that were sent again after they may have run.
	Retries atomic.Int64
	// Resumed counts resumptions of interrupted streams at another engine.
	Resumed atomic.Int64
	// RetryBudgetExhausted counts attempts to send a request for which the retry budget had too few
	// tokens.
	RetryBudgetExhausted atomic.Int64
	// RejectedToAvoidPauses counts requests that were rejected after a failed prefill because they would
	// have paused the responses of other requests.
	RejectedToAvoidPauses atomic.Int64
	// NotStarted counts generate calls that are proven not to have started a run.
	NotStarted atomic.Int64
	// EngineFailures counts calls that an engine aborted, did not answer, or could not receive.
	EngineFailures atomic.Int64
	// TimedOut counts calls that a watchdog canceled.
	TimedOut atomic.Int64
	// KVReleased counts KV caches that were released without use.
	KVReleased atomic.Int64
	// DecodersReplaced counts generate calls that were not sent after a prefill, so that another decode engine
	// was given the KV cache.
	DecodersReplaced atomic.Int64
	// InvalidTransitions counts attempted changes of a request's state that Transitions does not allow.
	// Each of them is a bug in this package.
	InvalidTransitions atomic.Int64
	// Migrated counts streams that were migrated out of a region under maintenance.
	Migrated atomic.Int64
	// MigrationsAborted counts failed migration attempts, after which the stream stayed at its engine.
	MigrationsAborted atomic.Int64
}

// CounterValues returns the counters by the names that operators see.
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
		"left-for-others":    p.RejectedToAvoidPauses.Load(),
		"decoders-replaced":  p.DecodersReplaced.Load(),
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
