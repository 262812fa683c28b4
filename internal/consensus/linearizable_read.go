package consensus

import "coursepass/internal/clock"

// readConfirmInterval is the minimum time between two broadcasts of MsgConfirmLeadership. A read
// that begins between two broadcasts is confirmed by the next OK of the election, within δ, at the
// latest.
const readConfirmInterval = 20 * clock.Millisecond

// readConfirmation records the last broadcast of MsgConfirmLeadership.
type readConfirmation struct {
	sentAt clock.Microseconds
	sent   bool
}

// PendingRead is a linearizable read that has begun. It may be answered once two conditions hold: a
// majority has confirmed, in answers to requests that were sent after the read began, that this
// replica still leads the term; and a majority knows all entries that were committed on this
// replica when the read began.
type PendingRead struct {
	startedAt clock.Microseconds
	index     uint64
	term      uint64
}

// ReadStatus is the status of a PendingRead.
type ReadStatus uint8

const (
	// ReadPending means that the read has to wait.
	ReadPending ReadStatus = iota
	// ReadReady means that the read may be answered from the state now.
	ReadReady
	// ReadAborted means that this replica can no longer answer the read.
	ReadAborted
)

// BeginRead begins a read and asks the other slots to confirm the leadership. It returns false if
// this replica is not confirmed as leader.
func (r *Replica) BeginRead(now clock.Microseconds) (PendingRead, bool, Output) {
	if !r.LeadershipConfirmed(now) {
		return PendingRead{}, false, Output{}
	}
	r.requestConfirmation(now)
	read := PendingRead{startedAt: now, index: r.commitIndex, term: r.ownTerm}
	return read, true, r.takeOutput()
}

// requestConfirmation asks all other slots for an Echo, unless it did so less than
// readConfirmInterval ago.
func (r *Replica) requestConfirmation(now clock.Microseconds) {
	last := r.readConfirmation
	if last.sent && now-last.sentAt < readConfirmInterval {
		return
	}
	r.readConfirmation = readConfirmation{sentAt: now, sent: true}
	for slot := range r.Slots {
		if slot != r.Self {
			r.send(Message{To: slot, Kind: MsgConfirmLeadership, Term: r.ownTerm})
		}
	}
}

// CheckRead returns the status of a read.
func (r *Replica) CheckRead(now clock.Microseconds, read PendingRead) ReadStatus {
	if !r.IsLeader() || r.ownTerm != read.term {
		return ReadAborted
	}
	contactAt, hasContact := r.election.QuorumContact(now)
	if !hasContact || contactAt < read.startedAt || r.leadership.quorumCommitIndex < read.index {
		return ReadPending
	}
	results := r.leadership.pendingResults
	if len(results) > 0 && results[0].Index <= read.index {
		return ReadPending
	}
	return ReadReady
}
