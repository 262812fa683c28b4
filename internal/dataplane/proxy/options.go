package proxy

import "coursepass/internal/dataplane/balancer"

// Options configures a Proxy. The options must not change after the call of New.
type Options struct {
	balancer.Options
	// RetryRatio is the maximum ratio of retries to received requests over all routers of the fleet. It
	// has no unit. With the default 0, no retries are allowed.
	RetryRatio float64
	// RetryBurst is the maximum number of unused retries that all routers of the fleet together may
	// save up. With the default 0, each router may save up one retry.
	RetryBurst float64
	// SlowRequestsPerSecond is the maximum rate, in lines per second, at which requests that were late
	// or not served are logged. With the default 0, none are logged.
	SlowRequestsPerSecond float64
	// Usage, if set, records each request that an engine has begun to answer.
	Usage UsageRecorder
}

const (
	// retryBudgetMargin scales RetryRatio and RetryBurst before use. It is less than 1 so that the fleet
	// stays below the configured limits.
	retryBudgetMargin = 0.8
	// retryPercentFactor converts RetryRatio to the percentage that is deposited in the retry budget. It
	// includes retryBudgetMargin.
	retryPercentFactor = 100 * retryBudgetMargin
)
