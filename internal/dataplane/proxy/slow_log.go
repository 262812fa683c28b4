package proxy

import (
	"sync"

	"coursepass/internal/clock"
)

// SlowRequestMessage is the message of the log line of a request that was late or not served.
const SlowRequestMessage = "slow request"

// slowLogBurst is how many seconds' worth of lines may be logged at once.
const slowLogBurst = 5

// rateLimitedLog is a token bucket for log lines. The zero value allows none.
type rateLimitedLog struct {
	// perSecond is how many lines a second may be logged.
	perSecond float64
	// lock guards the fields below.
	lock       sync.Mutex
	tokens     float64
	refilledAt clock.Microseconds
}

// allow reports whether a line may be logged now, and counts it.
func (r *rateLimitedLog) allow(now clock.Microseconds) bool {
	if r.perSecond <= 0 {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	elapsed := float64(max(now-r.refilledAt, 0)) / float64(clock.Second)
	r.tokens = min(r.tokens+elapsed*r.perSecond, max(r.perSecond*slowLogBurst, 1))
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
