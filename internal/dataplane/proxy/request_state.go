package proxy

import (
	"slices"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
)

// StateResuming is a stream that its engine cut, and that another engine may go on with.
const StateResuming lifecycle.State = "resuming"

// Transitions is the table of allowed moves of a carried request. Unlike the product's own
// callers, those of a route that may be resumed get another run behind the last event.
var Transitions = map[lifecycle.State][]lifecycle.State{
	lifecycle.StateReceived:    {lifecycle.StateQueued, lifecycle.StateRejected},
	lifecycle.StateQueued:      {lifecycle.StateMatched, lifecycle.StateRejected},
	lifecycle.StateMatched:     {lifecycle.StatePrefilling, lifecycle.StateDecoding, lifecycle.StateQueued, StateResuming},
	lifecycle.StatePrefilling:  {lifecycle.StateTransferred, lifecycle.StateQueued, StateResuming},
	lifecycle.StateTransferred: {lifecycle.StateDecoding, lifecycle.StateQueued, StateResuming},
	lifecycle.StateDecoding:    {lifecycle.StateStreaming, lifecycle.StateQueued, lifecycle.StateUnknown, StateResuming},
	lifecycle.StateUnknown:     {lifecycle.StateQueued, StateResuming},
	lifecycle.StateStreaming:   {lifecycle.StateFinished, lifecycle.StateTruncated, StateResuming},
	// A stream whose move came to nothing goes on where it was.
	StateResuming: {lifecycle.StateMatched, lifecycle.StateTruncated, lifecycle.StateStreaming},
}

// requestState follows one carried request.
type requestState struct {
	lifecycle.StateMachine
	// invalidTransitions counts steps that the table does not allow.
	invalidTransitions int64
}

func newRequestState() *requestState {
	return &requestState{StateMachine: *lifecycle.NewStateMachine()}
}

// Transition goes to a state; a move that is not in the table is a mishap.
func (r *requestState) Transition(next lifecycle.State) error {
	if !slices.Contains(Transitions[r.State], next) {
		return errcode.New(errcode.ExecutionFailed, "no move from %s to %s", r.State, next)
	}
	r.State = next
	return nil
}

// resetForRetry is where a request stands between two tries.
func (r *requestState) resetForRetry(headWritten bool) {
	if headWritten {
		r.mustTransition(StateResuming)
		return
	}
	r.mustTransition(lifecycle.StateQueued)
}

// mustTransition goes to a state that the code has already made sure of.
func (r *requestState) mustTransition(next lifecycle.State) {
	if r.State != next && r.Transition(next) != nil {
		r.invalidTransitions++
	}
}
