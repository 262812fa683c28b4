package claim

import "coursepass/internal/clock"

const (
	// Budget is how long a claim may take, on the claimant's clock.
	Budget = 250 * schedule.Millisecond
	// Settle is how long a seat that starts lets claims under way come to rest before
	// what others hold counts: grants that an earlier life gave are void by then.
	Settle = 4 * Budget
	// Margin is added to the longest budget of a one-shot request.
	Margin = 500 * schedule.Millisecond
)

// Seat tells when a seat that has started may grant again. It has forgotten all, so it
// abstains until it has copied from so many others that each majority had one of them,
// or until no request that it may have forgotten can still be under way.
type Seat struct {
	Slots   int
	Self    int
	began   schedule.Microseconds
	whole   bool
	copied  map[int]uint64
	longest schedule.Microseconds
}

// NewSeat starts without memory.
func NewSeat(now schedule.Microseconds, slots, self int) *Seat {
	return &Seat{Slots: slots, Self: self, began: now, copied: map[int]uint64{}}
}

// Settled tells whether what others hold counts by now.
func (r *Seat) Settled(now schedule.Microseconds) bool { return now-r.began >= Settle }

// Copied notes that all claims of another seat were taken over, of one life of it that
// had not forgotten. The copying must have begun after the seat was settled.
func (r *Seat) Copied(begun schedule.Microseconds, slot int, life uint64) {
	if slot != r.Self && slot >= 0 && slot < r.Slots && r.Settled(begun) {
		r.copied[slot] = life
	}
}

// Longest notes the longest time that a one-shot request may be under way by the
// configuration in force.
func (r *Seat) Longest(span schedule.Microseconds) { r.longest = max(r.longest, span) }

// Whole tells whether the seat may grant.
func (r *Seat) Whole(now schedule.Microseconds) bool {
	majority := r.Slots/2 + 1
	if len(r.copied) >= r.Slots-majority+1 {
		r.whole = true
	}
	if r.longest > 0 && now-r.began >= max(r.longest+Margin, Settle) {
		r.whole = true
	}
	return r.whole
}
