package proxy

import "coursepass/internal/dataplane/balancer"

// Options configure a Proxy. They do not change once it is made.
type Options struct {
	balancer.Options
	// RetryRatio is how many retries the routers of the fleet may send for each request that they
	// receive. No unit; the default 0 earns no retries at all.
	RetryRatio float64
	// RetryBurst is how many earned retries the routers of the fleet may save up together, in
	// retries. The default 0 lets each router save up a single one.
	RetryBurst float64
	// SlowRequestsPerSecond is how many requests that were late or not served are logged each second, in
	// lines per second. The default 0 logs none.
	SlowRequestsPerSecond float64
	// Usage, if set, is told of each request that an engine has begun.
	Usage UsageRecorder
}

const (
	// retryBudgetMargin is the part of the configured retries that a router hands out, so that the
	// fleet stays below them.
	retryBudgetMargin = 0.8
	// retryPercentFactor turns a retry ratio into the percentage that the retry budget takes.
	retryPercentFactor = 100 * retryBudgetMargin
)
