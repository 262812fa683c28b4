package timesync

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coursepass/internal/clock"
)

// Clock tells the true time on one machine.
type Clock struct {
	monotonic *clock.Clock
	wallClock func() time.Time
	// offset is that of the last estimate, for readers that need no more.
	offset atomic.Int64

	// lock guards estimator.
	lock      sync.Mutex
	estimator *Estimator
}

// NewClock returns the clock of a daemon at an address. It starts with the wall clock of the daemon's machine.
func NewClock(address string, monotonic *clock.Clock, wallClock func() time.Time) *Clock {
	created := &Clock{monotonic: monotonic, wallClock: wallClock, estimator: NewEstimator(machineOf(address))}
	created.lock.Lock()
	defer created.lock.Unlock()
	created.recordOwn()
	return created
}

// machineOf returns the host of an address, or all of it if it has no port.
func machineOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Now returns the estimated true time since the start of 1970.
func (c *Clock) Now() clock.Microseconds {
	return c.monotonic.Now() + clock.Microseconds(c.offset.Load())
}

// Monotonic returns the monotonic time, on which exchanges are timed.
func (c *Clock) Monotonic() clock.Microseconds { return c.monotonic.Now() }

// WallClock returns what the machine's wall clock shows, for answers to others.
func (c *Clock) WallClock() clock.Microseconds {
	return clock.Microseconds(c.wallClock().UnixMicro())
}

// RecordAnswer records the wall clock in an answer that has just arrived from an address, to a call that was sent
// at a monotonic time. A wall clock of 0 says that the answer had none.
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

// recordOwn records the own wall clock, and publishes the estimate. The lock must be held.
func (c *Clock) recordOwn() {
	c.estimator.RecordOwn(c.monotonic.Now(), c.WallClock())
	c.offset.Store(int64(c.estimator.Estimate().Offset))
}

// Estimate returns the estimate as of the last answer.
func (c *Clock) Estimate() Estimate {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.estimator.Estimate()
}

// AddCounters adds what operators see of the estimate, by the names under which it is shown.
func (c *Clock) AddCounters(counters map[string]int64) {
	estimate := c.Estimate()
	counters["time-voters"] = int64(estimate.Voters)
	counters["time-uncertain"] = 1
	if estimate.Reliable() {
		counters["time-uncertain"] = 0
	}
}
