package httpapi

import (
	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

const (
	// minRetryAfter is the shortest time that a caller is told to wait.
	minRetryAfter = 100 * clock.Millisecond
	// MaxRetryAfter is the longest time that a caller is told to wait.
	MaxRetryAfter = 10 * clock.Second
)

// retryAfter is when a rejected caller should retry, by what is known here; zero where a retry is
// of no use.
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
