package election

// highestTerm is higher than any term that is reached.
const highestTerm = ^uint64(0)

// eligibility is what keeps this slot from leading, besides lost contact with a quorum.
type eligibility struct {
	// barredTerm is the highest term that this slot must not lead; it counts if barred.
	barredTerm  uint64
	barred      bool
	diskStalled bool
}

// BarTerm keeps this slot from leading any term up to the given one. A lower bar than the
// present one changes nothing.
func (e *Elector) BarTerm(term uint64) {
	if !e.eligibility.barred || term > e.eligibility.barredTerm {
		e.eligibility.barredTerm = term
		e.eligibility.barred = true
	}
}

// LiftBar removes the bar that BarTerm has set.
func (e *Elector) LiftBar() {
	e.eligibility.barred = false
}

// SetDiskStalled tells whether the slot's disk has stopped to complete writes. As long as it
// has, the slot is no candidate: it sends no OK and no PONG, and starts the ping step at once
// in a term of its own. The paper has no such rule: there the OKs of a leader that can't write
// would keep it leader for ever.
func (e *Elector) SetDiskStalled(stalled bool) {
	e.eligibility.diskStalled = stalled
}

// mayLead reports whether this slot is the candidate of a term and is not kept from leading.
func (e *Elector) mayLead(term uint64) bool {
	barred := e.eligibility.barred && term <= e.eligibility.barredTerm
	return e.Candidate(term) == e.Self && e.available() && !barred
}

// available reports whether this slot could lead a term that it is not barred from.
func (e *Elector) available() bool {
	return !e.eligibility.diskStalled && !e.quorumContact.expired
}

// cannotLeadOwnTerm reports whether the current term is this slot's own and it may not lead it:
// nobody will lead it then.
func (e *Elector) cannotLeadOwnTerm() bool {
	return e.Candidate(e.term) == e.Self && !e.mayLead(e.term)
}
