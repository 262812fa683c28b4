package idempotency

import "coursepass/internal/clock"

const (
	// ReservationTimeout is how long a claim may take, on the claimant's clock.
	ReservationTimeout = 250 * clock.Millisecond
	// QuiescencePeriod is how long a seat that starts lets claims under way come to rest before
	// what others hold counts: grants that an earlier life gave are void by then.
	QuiescencePeriod = 4 * ReservationTimeout
	// RequestTimeoutMargin is added to the longest budget of a one-shot request.
	RequestTimeoutMargin = 500 * clock.Millisecond
)

// RecoveryGate tells when a seat that has started may grant again. It has forgotten all, so it
// abstains until it has copied from so many others that each majority had one of them,
// or until no request that it may have forgotten can still be under way.
type RecoveryGate struct {
	Replicas       int
	Self           int
	startedAt      clock.Microseconds
	ready          bool
	importedFrom   map[int]uint64
	longestRequest clock.Microseconds
}

// NewRecoveryGate starts without memory.
func NewRecoveryGate(now clock.Microseconds, replicas, self int) *RecoveryGate {
	return &RecoveryGate{Replicas: replicas, Self: self, startedAt: now, importedFrom: map[int]uint64{}}
}

// IsQuiescent tells whether what others hold counts by now.
func (r *RecoveryGate) IsQuiescent(now clock.Microseconds) bool {
	return now-r.startedAt >= QuiescencePeriod
}

// RecordImport notes that all claims of another seat were taken over, of one life of it that
// had not forgotten. The copying must have begun after the seat was settled.
func (r *RecoveryGate) RecordImport(startedAt clock.Microseconds, replica int, incarnation uint64) {
	if replica != r.Self && replica >= 0 && replica < r.Replicas && r.IsQuiescent(startedAt) {
		r.importedFrom[replica] = incarnation
	}
}

// ObserveRequestTimeout notes the longest time that a one-shot request may be under way by the
// configuration in force.
func (r *RecoveryGate) ObserveRequestTimeout(timeout clock.Microseconds) {
	r.longestRequest = max(r.longestRequest, timeout)
}

// Ready tells whether the seat may grant.
func (r *RecoveryGate) Ready(now clock.Microseconds) bool {
	majority := r.Replicas/2 + 1
	if len(r.importedFrom) >= r.Replicas-majority+1 {
		r.ready = true
	}
	if r.longestRequest > 0 && now-r.startedAt >= max(r.longestRequest+RequestTimeoutMargin, QuiescencePeriod) {
		r.ready = true
	}
	return r.ready
}
