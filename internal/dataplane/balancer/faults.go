package pool

import (
	"math"
	"slices"

	"coursepass/internal/clock"
)

// Engines may fail part of their requests while they answer the others well, so that an
// answer does not clear them: their faults count on, fading.
const (
	// faultHalfLife is in what time a fault comes to count half.
	faultHalfLife = 4 * schedule.Second
	// faultHeard is what another router's word counts; each passes it on once a second at most.
	faultHeard = 1
	// faultsUsual is how many faults beyond those of the other engines are passed over.
	faultsUsual = 1
	// faultCost is what each further one adds to the cost of a way, faultMost the most of that.
	faultCost = 40 * schedule.Millisecond
	faultMost = 250 * schedule.Millisecond
	// onceWeight is how many times that counts for a request that is lost if its engine fails.
	onceWeight = 2
)

// fault notes that an engine failed a request.
func (e *member) fault(now schedule.Microseconds, weight float64) {
	e.faults, e.faultsAt = e.faulty(now)+weight, now
}

// faulty is how many faults count at a time.
func (e *member) faulty(now schedule.Microseconds) float64 {
	if e.faults == 0 {
		return 0
	}
	return e.faults * math.Exp2(-float64(now-e.faultsAt)/float64(faultHalfLife))
}

// weigh sets what the faults of engines add to their cost. What all have in common, as after
// the loss of this router's own circuits, counts against none.
func (b *Pool) weigh(now schedule.Microseconds, all []*member) {
	counts := make([]float64, len(all))
	for place, each := range all {
		counts[place] = each.faulty(now)
	}
	sorted := slices.Sorted(slices.Values(counts))
	for place, each := range all {
		more := counts[place] - sorted[(len(sorted)-1)/2] - faultsUsual
		each.penalty = min(schedule.Microseconds(max(more, 0)*float64(faultCost)), faultMost)
	}
}

// HeardSince tells whether an engine has shown something of any request since a time.
func (b *Pool) HeardSince(life string, since schedule.Microseconds) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.member(life).heard > since
}

// Fault notes that an engine failed a request although it was there: it gave an error of its
// own, or let the request wait for much longer than others.
func (b *Pool) Fault(now schedule.Microseconds, life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.member(life).fault(now, 1)
}
