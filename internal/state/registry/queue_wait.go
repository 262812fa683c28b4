package registry

import "coursepass/internal/clock"

const (
	// intervalSmoothing is the divisor of the moving average: the latest interval counts one in eight.
	intervalSmoothing = 8
	// intervalExpiry is how long the average is used after the last admission from the queue.
	intervalExpiry = 2 * clock.Second
)

// waitEstimator counts the requests that wait for capacity, and averages the interval between
// admissions from the queue. The table's lock guards it.
type waitEstimator struct {
	waiting            int
	interval           clock.Microseconds
	lastAdmission      clock.Microseconds
	intervalMeasuredAt clock.Microseconds
}

// Enqueue counts one more request that waits for capacity.
func (t *Table) Enqueue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting++
}

// Dequeue counts one request less that waits.
func (t *Table) Dequeue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting--
}

// RecordAdmission records that a request got its capacity now; queued tells whether it had to wait.
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

// EstimateWait estimates how long one more request would wait behind those in the queue, by
// the average interval between recent admissions. It is zero where that is unknown.
func (t *Table) EstimateWait(now clock.Microseconds) clock.Microseconds {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now-t.intervalMeasuredAt > intervalExpiry {
		t.interval = 0
	}
	return clock.Microseconds(t.waiting) * t.interval
}
