package httpapi

import "sync/atomic"

// Counters are the counters of the interface.
type Counters struct {
	// Received counts the requests. Each is counted once more by its end: Completed, Truncated, or,
	// if nothing was streamed, Rejected (not run), Failed or Unknown.
	Received  atomic.Int64
	Admitted  atomic.Int64
	Completed atomic.Int64
	Rejected  atomic.Int64
	Unknown   atomic.Int64
	Failed    atomic.Int64
	Truncated atomic.Int64
	// Retries counts the further attempts at engines, EngineFailures the failures reported to leaders.
	Retries        atomic.Int64
	EngineFailures atomic.Int64
	// StaleRejections counts requests rejected because the router took no new work.
	StaleRejections atomic.Int64
	// Stalls counts attempts that were given up since their engine showed nothing for too long.
	Stalls atomic.Int64
	// EarlyRejections counts requests rejected at once, since their turn would come too late.
	EarlyRejections atomic.Int64
	// ReservationsWithoutQuorum counts one-shot requests whose key no quorum could reserve.
	ReservationsWithoutQuorum atomic.Int64
	// Unauthenticated counts requests of tenants with credentials that carried none of them.
	Unauthenticated atomic.Int64
}

// CounterValues are the counters by the names that operators see.
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
