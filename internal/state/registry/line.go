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
func (table *Table) Join() {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.waiting++
}

// Leave has one less wait.
func (table *Table) Leave() {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.waiting--
}

// Turn notes that a request had its room now, after waiting or not.
func (table *Table) Turn(now schedule.Microseconds, waited bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if waited && table.last > 0 && now-table.last < paceLasts {
		if table.pace == 0 {
			table.pace = now - table.last
		}
		table.pace += (now - table.last - table.pace) / paceShare
		table.paced = now
	}
	table.last = now
}

// Wait estimates how long one more request would wait for room behind those that wait
// now, by the pace of those that had their turn lately.
func (table *Table) Wait(now schedule.Microseconds) schedule.Microseconds {
	table.lock.Lock()
	defer table.lock.Unlock()
	if now-table.paced > paceLasts {
		table.pace = 0
	}
	return schedule.Microseconds(table.waiting) * table.pace
}
