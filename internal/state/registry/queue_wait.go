package registry

import "coursepass/internal/clock"

const (
	// intervalSmoothing is the divisor of the moving average: the latest interval has a weight of 1/8.
	intervalSmoothing = 8
	// intervalExpiry is the time after the last admission from the queue at which the average
	// expires and the estimated wait becomes 0. Longer intervals are left out of the average.
	intervalExpiry = 2 * clock.Second
)

// waitEstimator counts the requests that wait for capacity and averages the interval between
// admissions from the queue. The lock of the Table guards it.
type waitEstimator struct {
	waiting            int
	interval           clock.Microseconds
	lastAdmission      clock.Microseconds
	intervalMeasuredAt clock.Microseconds
}

// Enqueue adds one to the number of requests that wait for capacity.
func (t *Table) Enqueue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting++
}

// Dequeue subtracts one from the number of requests that wait for capacity.
func (t *Table) Dequeue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting--
}

// RecordAdmission records that a request got capacity at the given time. queued means that the
// request had to wait.
func (t *Table) RecordAdmission(now clock.Microseconds, queued bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	elapsed := now - t.lastAdmission
	if queued && t.lastAdmission > 0 && elapsed < intervalExpiry {
		if t.interval == 0 {
			t.interval = elapsed
		}
		t.interval += (elapsed - t.interval) / intervalSmoothing
		t.intervalMeasuredAt = now
	}
	t.lastAdmission = now
}

// EstimateWait estimates the wait of a new request behind the queued ones, from the average
// interval between recent admissions. The estimate is 0 if the interval is unknown.
func (t *Table) EstimateWait(now clock.Microseconds) clock.Microseconds {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now-t.intervalMeasuredAt > intervalExpiry {
		t.interval = 0
	}
	return clock.Microseconds(t.waiting) * t.interval
}
