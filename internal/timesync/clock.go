package timesync

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coursepass/internal/clock"
)

// Clock estimates the true time on one machine. It is safe for concurrent use.
type Clock struct {
	monotonic *clock.Clock
	wallClock func() time.Time
	// offset is the offset of the last estimate. It is stored separately so that Now needs no lock.
	offset atomic.Int64

	// lock guards estimator.
	lock      sync.Mutex
	estimator *Estimator
}

// NewClock returns the clock of a daemon at an address. The first estimate is the wall clock of the daemon's
// machine.
func NewClock(address string, monotonic *clock.Clock, wallClock func() time.Time) *Clock {
	created := &Clock{monotonic: monotonic, wallClock: wallClock, estimator: NewEstimator(machineOf(address))}
	created.lock.Lock()
	defer created.lock.Unlock()
	created.recordOwn()
	return created
}

// machineOf returns the host of an address, or the whole address if it has no port.
func machineOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Now returns the estimated true time, counted from the start of 1970.
func (c *Clock) Now() clock.Microseconds {
	return c.monotonic.Now() + clock.Microseconds(c.offset.Load())
}

// Monotonic returns the time of the monotonic clock, which times the exchanges.
func (c *Clock) Monotonic() clock.Microseconds { return c.monotonic.Now() }

// WallClock returns the time of the machine's wall clock, counted from the start of 1970. Daemons send this time in
// their responses.
func (c *Clock) WallClock() clock.Microseconds {
	return clock.Microseconds(c.wallClock().UnixMicro())
}

// RecordAnswer records the wall clock in a response that has just arrived from an address. sentAt is the monotonic
// time at which the call was sent. A wallClock of 0 means that the response contained no wall clock.
func (c *Clock) RecordAnswer(address string, sentAt, wallClock clock.Microseconds) {
	exchange := Exchange{
		Machine:    machineOf(address),
		SentAt:     sentAt,
		ReceivedAt: c.monotonic.Now(),
		WallClock:  wallClock,
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.estimator.RecordExchange(exchange) {
		c.recordOwn()
	}
}

// recordOwn records the machine's own wall clock, and stores the offset of the new estimate for Now. The caller must
// hold the lock.
func (c *Clock) recordOwn() {
	c.estimator.RecordOwn(c.monotonic.Now(), c.WallClock())
	c.offset.Store(int64(c.estimator.Estimate().Offset))
}

// Estimate returns the estimate after the last recorded response.
func (c *Clock) Estimate() Estimate {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.estimator.Estimate()
}

// AddCounters adds the counters of the estimate that operators see, keyed by their names.
func (c *Clock) AddCounters(counters map[string]int64) {
	estimate := c.Estimate()
	counters["time-voters"] = int64(estimate.Voters)
	counters["time-uncertain"] = 1
	if estimate.Reliable() {
		counters["time-uncertain"] = 0
	}
}
