package httpapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

const (
	// minRetryAfter is the minimum Retry-After of the codes that are handled here.
	minRetryAfter = 100 * clock.Millisecond
	// MaxRetryAfter is the maximum Retry-After in any response.
	MaxRetryAfter = 10 * clock.Second
)

// retryAfter returns how long a rejected caller should wait before it retries, or zero if a retry is of
// no use. The state that explains the rejection determines the time.
func (h *Handler) retryAfter(request *forwardedRequest, code errcode.Code) clock.Microseconds {
	now := h.clock.Now()
	var delay clock.Microseconds
	switch code {
	case errcode.ReservationNoQuorum:
		delay = failedMemberBackoff
	case errcode.IdempotencyTableFull:
		delay = h.idempotencyKeys.NextExpiry(now)
	case errcode.NoEngine, errcode.QueueFull, errcode.DeadlineExceeded, errcode.RetryBudgetExhausted:
		delay = minRetryAfter
		if request.engineTable != nil {
			delay = request.engineTable.EstimateWait(now)
		}
	default:
		return h.control.RetryAfter(code)
	}
	return min(max(delay, minRetryAfter), MaxRetryAfter)
}
