package peers

import (
	"sync"

	"coursepass/internal/clock"
)

const (
	// stateBytesPerSecond and stateBurstBytes are the rate and the burst size of the token bucket for large states that
	// a daemon sends in responses to comparisons, in bytes before compression. A daemon with half a processor compresses
	// about 10 MB per second. Without the limit, if hundreds of daemons restart at once and request the state from the
	// same few daemons, each request would take longer than compareTimeout, and the requesters would retry.
	stateBytesPerSecond = 2 << 20
	stateBurstBytes     = 1 << 20
)

// stateBudget is a token bucket that limits the bytes of large states. A state is admitted while the number of tokens
// is positive, and takes one token per byte. The number may become negative, so that a state of any size is admitted
// eventually. The methods of stateBudget are safe for concurrent use.
type stateBudget struct {
	// lock guards the fields below.
	lock      sync.Mutex
	tokens    int64
	updatedAt clock.Microseconds
}

// newStateBudget returns a full budget.
func newStateBudget(now clock.Microseconds) *stateBudget {
	return &stateBudget{tokens: stateBurstBytes, updatedAt: now}
}

// admit reports whether a state of size bytes may be sent now, and takes its tokens if so. States of at most
// maxPushBytes are always admitted and take no tokens, because sending them costs no more than the call itself.
func (s *stateBudget) admit(now clock.Microseconds, size int) bool {
	if size <= maxPushBytes {
		return true
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	refill := int64(now-s.updatedAt) * stateBytesPerSecond / int64(clock.Second)
	s.tokens = min(s.tokens+refill, stateBurstBytes)
	s.updatedAt = now
	if s.tokens <= 0 {
		return false
	}
	s.tokens -= int64(size)
	return true
}
