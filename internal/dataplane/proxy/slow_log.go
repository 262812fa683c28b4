package proxy

import (
	"sync"

	"coursepass/internal/clock"
)

// SlowRequestMessage is the log message about a request that was late or not served.
const SlowRequestMessage = "slow request"

// slowLogBurst is the capacity of the token bucket in seconds: the maximum number of lines logged at once
// is slowLogBurst times the rate, but at least one.
const slowLogBurst = 5

// logRateLimiter limits the rate of log lines with a token bucket. The zero value allows no lines.
type logRateLimiter struct {
	// perSecond is the maximum rate in lines per second.
	perSecond float64
	// lock guards the fields below.
	lock       sync.Mutex
	tokens     float64
	refilledAt clock.Microseconds
}

// allow reports whether a line may be logged now. If so, it takes a token for the line.
func (r *logRateLimiter) allow(now clock.Microseconds) bool {
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
