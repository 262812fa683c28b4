package peers

import (
	"sync"

	"coursepass/internal/clock"
)

const (
	// stateBytesPerSecond and stateBurstBytes limit the large states that a daemon sends in response to comparisons,
	// in bytes before compression. A daemon with half a processor compresses some 10 MB a second: when hundreds of
	// daemons restart at once and all want the state from the same few, each of them would wait longer than
	// compareTimeout, and ask again.
	stateBytesPerSecond = 2 << 20
	stateBurstBytes     = 1 << 20
)

// stateBudget limits the bytes of large states, as a token bucket. A state is admitted while tokens are left and takes
// as many as it has bytes, so that a state of any size is admitted at times. Its methods may be called from several
// goroutines.
type stateBudget struct {
	// lock guards what follows.
	lock      sync.Mutex
	tokens    int64
	updatedAt clock.Microseconds
}

// newStateBudget returns a budget with all its tokens.
func newStateBudget(now clock.Microseconds) *stateBudget {
	return &stateBudget{tokens: stateBurstBytes, updatedAt: now}
}

// admit tells whether a state of so many bytes may be sent now, and takes its tokens if so. Small states are always
// admitted: they cost no more than the call.
func (s *stateBudget) admit(now clock.Microseconds, size int) bool {
	if size <= maxPushBytes {
		return true
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	earned := int64(now-s.updatedAt) * stateBytesPerSecond / int64(clock.Second)
	s.tokens = min(s.tokens+earned, stateBurstBytes)
	s.updatedAt = now
	if s.tokens <= 0 {
		return false
	}
	s.tokens -= int64(size)
	return true
}
