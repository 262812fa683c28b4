package proxy

import (
	"slices"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
)

// StateResuming is the state of a stream that was interrupted or is being migrated, and that another
// engine may continue.
const StateResuming lifecycle.State = "resuming"

// Transitions lists the allowed successors of each state of a forwarded request. Unlike in
// lifecycle.Transitions, another run may resume a stream after the last event that was relayed.
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
		// The decode call was not sent, and another decode engine fetches the KV cache.
		lifecycle.StateTransferred,
		lifecycle.StateQueued,
		lifecycle.StateUnknown,
		StateResuming,
	},
	lifecycle.StateUnknown:   {lifecycle.StateQueued, StateResuming},
	lifecycle.StateStreaming: {lifecycle.StateFinished, lifecycle.StateTruncated, StateResuming},
	// After a failed migration, the stream continues from its old engine.
	StateResuming: {lifecycle.StateMatched, lifecycle.StateTruncated, lifecycle.StateStreaming},
}

// requestState is the state machine of one forwarded request.
type requestState struct {
	lifecycle.StateMachine
	// invalidTransitions counts the attempted transitions that Transitions does not allow.
	invalidTransitions int64
}

// newRequestState returns the state of a newly received request.
func newRequestState() *requestState {
	return &requestState{StateMachine: *lifecycle.NewStateMachine()}
}

// Transition changes the state. It returns an ExecutionFailed error if Transitions does not allow the
// change.
func (r *requestState) Transition(next lifecycle.State) error {
	if !slices.Contains(Transitions[r.State], next) {
		return errcode.New(errcode.ExecutionFailed, "transition from state %s to %s is not allowed", r.State, next)
	}
	r.State = next
	return nil
}

// resetForRetry changes to the state between two attempts, which depends on whether the client has
// received a response head.
func (r *requestState) resetForRetry(headWritten bool) {
	if headWritten {
		r.tryTransition(StateResuming)
		return
	}
	r.tryTransition(lifecycle.StateQueued)
}

// tryTransition changes the state unless the request is already in that state. If the change is not
// allowed, it keeps the state and counts an invalid transition, which is a bug in this package.
func (r *requestState) tryTransition(next lifecycle.State) {
	if r.State != next && r.Transition(next) != nil {
		r.invalidTransitions++
	}
}
