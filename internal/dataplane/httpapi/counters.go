package httpapi

import "sync/atomic"

// Counters are the counters of a Handler.
type Counters struct {
	// Received counts all requests. Each request is also counted once by its end: by Completed or
	// Truncated or, if nothing was streamed, by Rejected (not run), Failed or Unknown.
	Received atomic.Int64
	// Admitted counts the requests that passed admission.
	Admitted  atomic.Int64
	Completed atomic.Int64
	Rejected  atomic.Int64
	Unknown   atomic.Int64
	Failed    atomic.Int64
	Truncated atomic.Int64
	// Retries counts the attempts and decodes after the first one of a request.
	Retries atomic.Int64
	// EngineFailures counts the failed calls that were to be reported to leaders.
	EngineFailures atomic.Int64
	// StaleRejections counts the requests that were rejected because the router was stale or draining.
	StaleRejections atomic.Int64
	// Stalls counts the attempts that a watchdog cancelled because their engine sent no frame in time.
	Stalls atomic.Int64
	// EarlyRejections counts the requests that were rejected without waiting for an engine, because the
	// estimated wait went beyond their start deadline.
	EarlyRejections atomic.Int64
	// ReservationsWithoutQuorum counts the one-shot requests whose key could not be reserved at a quorum.
	ReservationsWithoutQuorum atomic.Int64
	// Unauthenticated counts the requests without a valid credential to tenants that require one.
	Unauthenticated atomic.Int64
}

// CounterValues returns the counters by their exported names.
func (h *Handler) CounterValues() map[string]int64 {
	return map[string]int64{
		"received":       h.Received.Load(),
		"enrolled":       h.Admitted.Load(),
		"finished":       h.Completed.Load(),
		"declined":       h.Rejected.Load(),
		"unknown":        h.Unknown.Load(),
		"failed":         h.Failed.Load(),
		"cut":            h.Truncated.Load(),
		"repeats":        h.Retries.Load(),
		"mishaps":        h.EngineFailures.Load(),
		"stale":          h.StaleRejections.Load(),
		"stalls":         h.Stalls.Load(),
		"declined-early": h.EarlyRejections.Load(),
		"claims-unheard": h.ReservationsWithoutQuorum.Load(),
		"no-credential":  h.Unauthenticated.Load(),
		"keys":           int64(h.idempotencyKeys.Count()),
	}
}
