package registry

import "coursepass/internal/clock"

const (
	// intervalSmoothing is how much the last interval counts in the pace.
	intervalSmoothing = 8
	// intervalExpiry is how long a pace is held to be true after the last turn of one that waited.
	intervalExpiry = 2 * clock.Second
)

// waitEstimator counts who waits for room, and how fast those who waited had their turn.
type waitEstimator struct {
	waiting            int
	interval           clock.Microseconds
	lastAdmission      clock.Microseconds
	intervalMeasuredAt clock.Microseconds
}

// Enqueue has one more wait for room.
func (t *Table) Enqueue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting++
}

// Dequeue has one less wait.
func (t *Table) Dequeue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting--
}

// RecordAdmission notes that a request had its room now, after waiting or not.
func (t *Table) RecordAdmission(now clock.Microseconds, queued bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if queued && t.lastAdmission > 0 && now-t.lastAdmission < intervalExpiry {
		if t.interval == 0 {
			t.interval = now - t.lastAdmission
		}
		t.interval += (now - t.lastAdmission - t.interval) / intervalSmoothing
		t.intervalMeasuredAt = now
	}
	t.lastAdmission = now
}

// EstimateWait estimates how long one more request would wait for room behind those that wait
// now, by the pace of those that had their turn lately.
func (t *Table) EstimateWait(now clock.Microseconds) clock.Microseconds {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now-t.intervalMeasuredAt > intervalExpiry {
		t.interval = 0
	}
	return clock.Microseconds(t.waiting) * t.interval
}
