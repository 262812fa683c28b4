package proxy

import (
	"slices"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
)

// StateResuming is a stream that was interrupted or is being migrated, and that another engine may
// continue.
const StateResuming lifecycle.State = "resuming"

// Transitions lists the allowed successors of each state of a forwarded request. Unlike in
// lifecycle.Transitions, a stream may be resumed by another run that continues after its last
// event.
var Transitions = map[lifecycle.State][]lifecycle.State{
	lifecycle.StateReceived: {lifecycle.StateQueued, lifecycle.StateRejected},
	lifecycle.StateQueued:   {lifecycle.StateMatched, lifecycle.StateRejected},
	lifecycle.StateMatched: {
		lifecycle.StatePrefilling,
		lifecycle.StateDecoding,
		lifecycle.StateQueued,
		StateResuming,
	},
	lifecycle.StatePrefilling:  {lifecycle.StateTransferred, lifecycle.StateQueued, StateResuming},
	lifecycle.StateTransferred: {lifecycle.StateDecoding, lifecycle.StateQueued, StateResuming},
	lifecycle.StateDecoding: {
		lifecycle.StateStreaming,
		lifecycle.StateQueued,
		lifecycle.StateUnknown,
		StateResuming,
	},
	lifecycle.StateUnknown:   {lifecycle.StateQueued, StateResuming},
	lifecycle.StateStreaming: {lifecycle.StateFinished, lifecycle.StateTruncated, StateResuming},
	// A stream whose migration failed goes back to streaming from its old engine.
	StateResuming: {lifecycle.StateMatched, lifecycle.StateTruncated, lifecycle.StateStreaming},
}

// requestState is the state machine of one forwarded request.
type requestState struct {
	lifecycle.StateMachine
	// invalidTransitions counts the transitions that the table does not allow.
	invalidTransitions int64
}

// newRequestState returns the state of a request that was just received.
func newRequestState() *requestState {
	return &requestState{StateMachine: *lifecycle.NewStateMachine()}
}

// Transition changes the state; it returns an ExecutionFailed error if the table does not allow
// that.
func (r *requestState) Transition(next lifecycle.State) error {
	if !slices.Contains(Transitions[r.State], next) {
		return errcode.New(errcode.ExecutionFailed, "no move from %s to %s", r.State, next)
	}
	r.State = next
	return nil
}

// resetForRetry changes to the state between two attempts.
func (r *requestState) resetForRetry(headWritten bool) {
	if headWritten {
		r.mustTransition(StateResuming)
		return
	}
	r.mustTransition(lifecycle.StateQueued)
}

// mustTransition changes to a state that must be allowed; it counts a violation and keeps the
// state otherwise. It does nothing in the state itself.
func (r *requestState) mustTransition(next lifecycle.State) {
	if r.State != next && r.Transition(next) != nil {
		r.invalidTransitions++
	}
}
