package idempotency

import "coursepass/internal/clock"

const (
	// ReservationTimeout is how long a request may take to reserve a key, on its router's clock.
	ReservationTimeout = 250 * clock.Millisecond
	// QuiescencePeriod is how long after its start a replica begins to import reservations.
	// By then each one that an earlier incarnation of it helped to make has won or timed out.
	QuiescencePeriod = 4 * ReservationTimeout
	// RequestTimeoutMargin is added to the longest timeout of a one-shot request.
	RequestTimeoutMargin = 500 * clock.Millisecond
)

// majority is the least number of replicas that any two of such groups have one in common.
func majority(replicas int) int { return replicas/2 + 1 }

// RecoveryGate tells when a replica that has restarted may reserve keys again. It has
// forgotten all reservations, so it abstains until it has imported those of so many others
// that each majority includes one of them, or until no request that it may have forgotten
// can still run. It is not safe for concurrent use.
type RecoveryGate struct {
	Replicas  int
	Self      int
	startedAt clock.Microseconds
	ready     bool
	// importedFrom holds the incarnations of the replicas that were imported from.
	importedFrom   map[int]uint64
	longestRequest clock.Microseconds
}

// NewRecoveryGate returns the gate of a replica that starts now, one of so many.
func NewRecoveryGate(now clock.Microseconds, replicas, self int) *RecoveryGate {
	return &RecoveryGate{Replicas: replicas, Self: self, startedAt: now, importedFrom: map[int]uint64{}}
}

// IsQuiescent reports whether reservations may be imported by now.
func (r *RecoveryGate) IsQuiescent(now clock.Microseconds) bool {
	return now-r.startedAt >= QuiescencePeriod
}

// RecordImport records that all reservations of another replica were imported, from one
// incarnation of it that was ready itself. An import that began before this replica was
// quiescent doesn't count.
func (r *RecoveryGate) RecordImport(startedAt clock.Microseconds, replica int, incarnation uint64) {
	isOther := replica != r.Self && replica >= 0 && replica < r.Replicas
	if isOther && r.IsQuiescent(startedAt) {
		r.importedFrom[replica] = incarnation
	}
}

// ObserveRequestTimeout records the longest time that a one-shot request may run by the
// configuration in force.
func (r *RecoveryGate) ObserveRequestTimeout(timeout clock.Microseconds) {
	r.longestRequest = max(r.longestRequest, timeout)
}

// ExpectsRequests reports whether any one-shot request may run by the configurations observed so far.
func (r *RecoveryGate) ExpectsRequests() bool { return r.longestRequest > 0 }

// Ready reports whether the replica may reserve keys. Once it may, it always may.
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
