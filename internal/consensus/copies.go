package consensus

import "coursepass/internal/clock"

// CopyState says whether a slot has a complete copy of the log, as its leader sees it.
type CopyState uint8

const (
	// CopyComplete is the state of a member that answers and stores all committed entries but at most
	// maxCatchUpLag.
	CopyComplete CopyState = iota
	// CopyCatchingUp is the state of a daemon that answers and lacks entries or a vote.
	CopyCatchingUp
	// CopySilent is the state of a member that has not answered for a lease duration.
	CopySilent
	// CopyVacant is the state of a slot without a member.
	CopyVacant
)

// String returns the state as operators see it.
func (c CopyState) String() string {
	return [...]string{"complete", "catching-up", "silent", "vacant"}[c]
}

// Copy is what a leader knows of the copy of the log in a slot.
type Copy struct {
	State CopyState
	// Member is the daemon that has the slot, or that catches up in order to be given it.
	Member Member
	// MissingEntries is the number of committed entries that the daemon is not known to store.
	MissingEntries uint64
}

// Copies returns the copies of the log by slot if this replica is leader, and nil otherwise.
func (r *Replica) Copies(now clock.Microseconds) []Copy {
	if !r.IsLeader() {
		return nil
	}
	copies := make([]Copy, r.Slots)
	for slot, member := range r.membership.Members {
		copies[slot] = Copy{State: r.copyState(now, slot), Member: member}
		copies[slot].MissingEntries = r.missingEntries(&r.leadership.followers[slot])
	}
	copies[r.Self].MissingEntries = 0
	if learner := r.leadership.learner; learner != nil && learner.promotable {
		copies[learner.slot] = Copy{
			State:          CopyCatchingUp,
			Member:         learner.member,
			MissingEntries: r.missingEntries(&learner.progress),
		}
	}
	return copies
}

func (r *Replica) copyState(now clock.Microseconds, slot int) CopyState {
	switch {
	case slot == r.Self:
		return CopyComplete
	case r.membership.Members[slot].Vacant():
		return CopyVacant
	case r.SinceLastContact(now, slot) > r.LeaseDuration:
		return CopySilent
	case !r.CaughtUp(slot):
		return CopyCatchingUp
	default:
		return CopyComplete
	}
}

// missingEntries returns the number of committed entries that a daemon is not known to store.
func (r *Replica) missingEntries(peer *progress) uint64 {
	return r.commitIndex - min(peer.matchIndex, r.commitIndex)
}
