package election

// highestTerm is the maximum of the term's type. No election reaches it.
const highestTerm = ^uint64(0)

// eligibility holds the conditions that prevent this slot from leading, other than lost contact
// with a quorum.
type eligibility struct {
	// barredTerm is the highest term that this slot must not lead; it is valid if barred is set.
	barredTerm  uint64
	barred      bool
	diskStalled bool
}

// BarTerm bars this slot from leading the given term and all earlier ones. A call with a lower term
// than an earlier call has no effect.
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

// SetDiskStalled records whether the slot's disk has stopped completing writes. While the disk is
// stalled, the slot is not a candidate: it sends no OK and no PONG, and it starts the ping step at
// once if it is in a term of its own. The paper has no such rule: there, a leader that can't write
// would stay leader forever, because it goes on sending OKs.
func (e *Elector) SetDiskStalled(stalled bool) {
	e.eligibility.diskStalled = stalled
}

// mayLead reports whether this slot is the candidate of a term, and nothing prevents it from
// leading the term.
func (e *Elector) mayLead(term uint64) bool {
	barred := e.eligibility.barred && term <= e.eligibility.barredTerm
	return e.Candidate(term) == e.Self && e.available() && !barred
}

// available reports whether this slot could lead a term that it is not barred from: its disk is not
// stalled, and it has not stepped down because it lost contact with a quorum.
func (e *Elector) available() bool {
	return !e.eligibility.diskStalled && !e.quorumContact.expired
}

// cannotLeadOwnTerm reports whether this slot is the candidate of the current term but must not
// lead it, so that no slot will lead the term.
func (e *Elector) cannotLeadOwnTerm() bool {
	return e.Candidate(e.term) == e.Self && !e.mayLead(e.term)
}
