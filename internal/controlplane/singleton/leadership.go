package singleton

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/outbox"
)

// markDelay is the maximum time for which a mark waits to be committed together with drafts; after it the mark is
// proposed alone. If a mark is lost with the leader, the only cost is one repeated call, which the platform
// ignores.
const markDelay = 10 * clock.Second

// leadership is the state of this server as the leader in one term. It decides which operations are proposed, and
// its delivery decides which calls are made. Calls are made only for entries of the committed outbox, never for
// drafts.
type leadership struct {
	*delivery
	// unresolved is a proposal whose outcome is unknown, or nil. It is proposed again, unchanged, before any
	// other operation. The outbox accepts each number only once, so the result of the second proposal shows
	// whether the first one was applied.
	unresolved *outbox.Operation
}

func newLeadership(term uint64) *leadership { return &leadership{delivery: newDelivery(term)} }

// taskRequest is what the tasks are asked for before the next proposal.
type taskRequest uint8

const (
	// requestNothing means that an earlier proposal must be resolved first.
	requestNothing taskRequest = iota
	// requestFloors asks for floors, since the outbox is incomplete and must be reset first.
	requestFloors
	// requestDrafts asks for new drafts.
	requestDrafts
)

// nextRequest returns what to ask the tasks for now.
func (l *leadership) nextRequest(view outbox.View) taskRequest {
	switch {
	case l.unresolved != nil:
		return requestNothing
	case view.Incomplete:
		return requestFloors
	}
	return requestDrafts
}

// taskResponse is what the tasks returned for a request.
type taskResponse struct {
	request taskRequest
	drafts  []outbox.Entry
	floors  []outbox.Mark
}

// nextOperation returns the operation to propose now, given what the tasks returned. The second result reports
// whether there is one.
func (l *leadership) nextOperation(
	now clock.Microseconds, view outbox.View, response taskResponse,
) (outbox.Operation, bool) {
	switch response.request {
	case requestNothing:
		return *l.unresolved, true
	case requestFloors:
		return outbox.Operation{Reset: true, Floors: response.floors}, true
	default:
		marks, since := l.marks(view)
		due := len(response.drafts) > 0 || now-since >= markDelay
		return outbox.Operation{Drafts: response.drafts, Done: marks}, due
	}
}

// proposalOutcome is what is known about the outcome of a proposal.
type proposalOutcome uint8

const (
	// proposalApplied means that the operation was committed and applied, by this proposal or an earlier one.
	proposalApplied proposalOutcome = iota
	// proposalUnknown means that the operation may have been committed, or may still be committed.
	proposalUnknown
	// proposalRefused means that this proposal was never added to the log.
	proposalRefused
)

// resolve records the outcome of a proposal. A refused proposal changes nothing: the outcome of an earlier
// proposal of the same operation is still unknown.
func (l *leadership) resolve(operation outbox.Operation, outcome proposalOutcome) {
	switch outcome {
	case proposalApplied:
		l.unresolved = nil
	case proposalUnknown:
		l.unresolved = &operation
	case proposalRefused:
	}
}
