package singleton

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/outbox"
)

// markDelay is how long a mark waits for drafts with which it can be committed. A mark that is lost costs one
// call that the platform ignores.
const markDelay = 10 * clock.Second

// leadership is the state of this server as leader of a term. It decides what is proposed; its delivery decides
// what is sent. What is sent comes from the committed outbox only, never from a draft.
type leadership struct {
	*delivery
	// unresolved is a proposal whose outcome is unknown. It is proposed again, unchanged, before anything
	// else: the outbox accepts each number once, so the second proposal shows what became of the first.
	unresolved *outbox.Operation
}

func newLeadership(term uint64) *leadership { return &leadership{delivery: newDelivery(term)} }

// request says what the tasks are asked for before the next proposal.
type request uint8

const (
	// requestNothing means that an earlier proposal has to be resolved first.
	requestNothing request = iota
	// requestFloors means that the outbox is incomplete and has to be reset first.
	requestFloors
	requestDrafts
)

// nextRequest returns what the tasks are asked for now.
func (l *leadership) nextRequest(view outbox.View) request {
	switch {
	case l.unresolved != nil:
		return requestNothing
	case view.Incomplete:
		return requestFloors
	}
	return requestDrafts
}

// contribution is what the tasks were asked for.
type contribution struct {
	request request
	drafts  []outbox.Entry
	floors  []outbox.Mark
}

// nextOperation returns what to propose now, given what the tasks contribute; false if nothing.
func (l *leadership) nextOperation(
	now clock.Microseconds, view outbox.View, tasks contribution,
) (outbox.Operation, bool) {
	switch tasks.request {
	case requestNothing:
		return *l.unresolved, true
	case requestFloors:
		return outbox.Operation{Reset: true, Floors: tasks.floors}, true
	default:
		marks, since := l.marks(view)
		due := len(tasks.drafts) > 0 || now-since >= markDelay
		return outbox.Operation{Drafts: tasks.drafts, Done: marks}, due
	}
}

// proposalOutcome is what is known of a proposal.
type proposalOutcome uint8

const (
	// proposalApplied means that the operation was committed and applied, now or before.
	proposalApplied proposalOutcome = iota
	// proposalUnknown means that the operation may still be committed.
	proposalUnknown
	// proposalRefused means that this proposal was never made.
	proposalRefused
)

// resolve records the outcome of a proposal. One that was not made says nothing of an earlier one with the same
// operation.
func (l *leadership) resolve(operation outbox.Operation, outcome proposalOutcome) {
	switch outcome {
	case proposalApplied:
		l.unresolved = nil
	case proposalUnknown:
		l.unresolved = &operation
	case proposalRefused:
	}
}
