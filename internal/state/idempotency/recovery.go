package idempotency

import "coursepass/internal/clock"

const (
	// ReservationTimeout is the time within which a request must get a majority for its key, on
	// the clock of its router.
	ReservationTimeout = 250 * clock.Millisecond
	// QuiescencePeriod is the time from the start of a replica until it may import
	// reservations. After this period, each request that an earlier incarnation of the replica
	// made a reservation for has either got its key or timed out.
	QuiescencePeriod = 4 * ReservationTimeout
	// RequestTimeoutMargin is added to the longest timeout of one-shot requests to get the time
	// after which a restarted replica assumes that all requests it may have forgotten have ended.
	RequestTimeoutMargin = 500 * clock.Millisecond
)

// majority returns the smallest group size at which any two groups of the replicas have at
// least one replica in common.
func majority(replicas int) int { return replicas/2 + 1 }

// RecoveryGate determines when a replica that has restarted may reserve keys again. The
// replica has lost all its reservations, so it abstains until it has imported the reservations
// of enough other replicas that every majority includes at least one of them, or until no
// request that it may have forgotten can still run. A RecoveryGate is not safe for concurrent
// use.
type RecoveryGate struct {
	// Replicas is the number of replicas of the shard.
	Replicas int
	// Self is the slot of this replica.
	Self      int
	startedAt clock.Microseconds
	ready     bool
	// importedFrom holds, by slot, the incarnation of each replica whose reservations were
	// imported.
	importedFrom map[int]uint64
	// longestRequest is the longest timeout of one-shot requests observed so far; 0 if none.
	longestRequest clock.Microseconds
}

// NewRecoveryGate returns the gate of the replica in slot self that starts now.
func NewRecoveryGate(now clock.Microseconds, replicas, self int) *RecoveryGate {
	return &RecoveryGate{Replicas: replicas, Self: self, startedAt: now, importedFrom: map[int]uint64{}}
}

// IsQuiescent reports whether the quiescence period has passed, so that reservations may be
// imported.
func (r *RecoveryGate) IsQuiescent(now clock.Microseconds) bool {
	return now-r.startedAt >= QuiescencePeriod
}

// RecordImport records that all reservations of another replica were imported from one
// incarnation of that replica, which was itself ready. It ignores an import that started
// before the end of this replica's quiescence period.
func (r *RecoveryGate) RecordImport(startedAt clock.Microseconds, replica int, incarnation uint64) {
	isOther := replica != r.Self && replica >= 0 && replica < r.Replicas
	if isOther && r.IsQuiescent(startedAt) {
		r.importedFrom[replica] = incarnation
	}
}

// ObserveRequestTimeout records the longest time that the current configuration allows a
// one-shot request to run.
func (r *RecoveryGate) ObserveRequestTimeout(timeout clock.Microseconds) {
	r.longestRequest = max(r.longestRequest, timeout)
}

// ExpectsRequests reports whether any configuration observed so far allows one-shot requests.
func (r *RecoveryGate) ExpectsRequests() bool { return r.longestRequest > 0 }

// Ready reports whether the replica may reserve keys. Once Ready has returned true, it always
// does.
func (r *RecoveryGate) Ready(now clock.Microseconds) bool {
	if len(r.importedFrom) >= r.Replicas-majority(r.Replicas)+1 {
		r.ready = true
	}
	requestsEnded := max(r.longestRequest+RequestTimeoutMargin, QuiescencePeriod)
	if r.longestRequest > 0 && now-r.startedAt >= requestsEnded {
		r.ready = true
	}
	return r.ready
}
