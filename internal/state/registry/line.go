package catalogue

import "coursepass/internal/clock"

const (
	// paceShare is how much the last interval counts in the pace.
	paceShare = 8
	// paceLasts is how long a pace is held to be true after the last turn of one that waited.
	paceLasts = 2 * schedule.Second
)

// line counts who waits for room, and how fast those who waited had their turn.
type line struct {
	waiting int
	pace    schedule.Microseconds
	last    schedule.Microseconds
	paced   schedule.Microseconds
}

// Join has one more wait for room.
func (t *Table) Join() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting++
}

// Leave has one less wait.
func (t *Table) Leave() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting--
}

// Turn notes that a request had its room now, after waiting or not.
func (t *Table) Turn(now schedule.Microseconds, waited bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if waited && t.last > 0 && now-t.last < paceLasts {
		if t.pace == 0 {
			t.pace = now - t.last
		}
		t.pace += (now - t.last - t.pace) / paceShare
		t.paced = now
	}
	t.last = now
}

// Wait estimates how long one more request would wait for room behind those that wait
// now, by the pace of those that had their turn lately.
func (t *Table) Wait(now schedule.Microseconds) schedule.Microseconds {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now-t.paced > paceLasts {
		t.pace = 0
	}
	return schedule.Microseconds(t.waiting) * t.pace
}
