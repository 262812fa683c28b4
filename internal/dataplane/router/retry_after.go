package router

import (
	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

const (
	// minRetryAfter and maxRetryAfter bound what a caller is told.
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 10 * clock.Second
	// staleRetryDivisor has a caller return after this fraction of the time for which the router
	// has been stale, so that one that was stale for long is not asked as often.
	staleRetryDivisor = 2
)

// retryAfter is when a rejected caller should retry, by what is known here; zero where a retry is
// of no use. The request is nil if the caller asked for none.
func (r *Router) retryAfter(request *forwardedRequest, code errcode.Code) clock.Microseconds {
	now := r.clock.Now()
	var delay clock.Microseconds
	switch code {
	case errcode.RouterStale:
		delay = max(r.freshnessGate.Staleness(now)/staleRetryDivisor, readInterval)
	case errcode.RouterDraining:
		delay = readInterval
	case errcode.ReservationNoQuorum:
		delay = failedMemberBackoff
	case errcode.IdempotencyTableFull:
		delay = r.idempotencyKeys.NextExpiry(now)
	case errcode.NoEngine, errcode.QueueFull, errcode.DeadlineExceeded, errcode.RetryBudgetExhausted:
		delay = minRetryAfter
		if request != nil && request.engineTable != nil {
			delay = request.engineTable.EstimateWait(now)
		}
	default:
		return 0
	}
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
