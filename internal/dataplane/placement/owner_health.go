package placement

import (
	"sync"

	"coursepass/internal/clock"
)

const (
	// minBackoff and maxBackoff bound how long an owner that did not answer is not asked. The time doubles
	// with each failure in a row.
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 2 * clock.Second
	// maxDoublings is how often it doubles.
	maxDoublings = 5
	// maxOwners bounds the owners that are remembered.
	maxOwners = 1024
)

// OwnerHealth remembers which owners did not answer. The zero value knows of none. It is safe for
// concurrent use.
type OwnerHealth struct {
	lock   sync.Mutex
	owners map[string]ownerState
}

// ownerState is what is known of an owner that did not answer.
type ownerState struct {
	failures int
	// retryAt is when it is asked again.
	retryAt clock.Microseconds
}

// Allow reports whether an owner, named by its address, may be asked. Once its backoff has passed one
// caller may; the others wait for another backoff, unless that caller reports success.
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

// RecordAnswer records that an owner has answered.
func (o *OwnerHealth) RecordAnswer(address string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	delete(o.owners, address)
}

// RecordFailure records that an owner did not answer in time.
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

// backoff returns how long the owner is not asked.
func (s ownerState) backoff() clock.Microseconds {
	doublings := min(max(s.failures-1, 0), maxDoublings)
	return min(minBackoff<<doublings, maxBackoff)
}
