package placement

import (
	"sync"

	"coursepass/internal/clock"
)

const (
	// minBackoff and maxBackoff bound the time for which an owner that did not answer gets no queries. The
	// time doubles with each consecutive failure.
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 2 * clock.Second
	// maxDoublings is the maximum number of doublings of minBackoff.
	maxDoublings = 5
	// maxOwners is the maximum number of owners with a recorded failure. Beyond it, all records are cleared.
	maxOwners = 1024
)

// OwnerHealth records which owners did not answer. The zero value has no records. It is safe for concurrent
// use.
type OwnerHealth struct {
	lock   sync.Mutex
	owners map[string]ownerState
}

// ownerState is the record of an owner that did not answer.
type ownerState struct {
	// failures is the number of consecutive failures.
	failures int
	// retryAt is the time from which the owner may be asked again.
	retryAt clock.Microseconds
}

// Allow reports whether the owner at an address may be asked. After the backoff of a failed owner, Allow
// returns true to one caller. The other callers wait for another backoff, unless the first one records an
// answer.
func (o *OwnerHealth) Allow(now clock.Microseconds, address string) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	state, failed := o.owners[address]
	if !failed {
		return true
	}
	if now < state.retryAt {
		return false
	}
	state.retryAt = now + state.backoff()
	o.owners[address] = state
	return true
}

// RecordAnswer records that an owner has answered, which ends its backoff.
func (o *OwnerHealth) RecordAnswer(address string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	delete(o.owners, address)
}

// RecordFailure records that an owner did not answer in time, and starts its backoff.
func (o *OwnerHealth) RecordFailure(now clock.Microseconds, address string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.owners == nil || len(o.owners) >= maxOwners {
		o.owners = map[string]ownerState{}
	}
	state := o.owners[address]
	state.failures++
	state.retryAt = now + state.backoff()
	o.owners[address] = state
}

// backoff returns the time for which the owner gets no queries after the last failure.
func (s ownerState) backoff() clock.Microseconds {
	doublings := min(max(s.failures-1, 0), maxDoublings)
	return min(minBackoff<<doublings, maxBackoff)
}
