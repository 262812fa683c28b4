package lifecycle

import (
	"slices"

	"coursepass/internal/errcode"
)

// State is the state of a request.
type State string

// The states. Their values appear in errors and logs.
const (
	// StateReceived is the initial state.
	StateReceived State = "received"
	// StateQueued means that the request waits for an engine.
	StateQueued State = "enrolled"
	// StateMatched means that an engine is selected for the request.
	StateMatched State = "matched"
	// StatePrefilling means that the request has been sent to a prefill engine.
	StatePrefilling State = "prefilling"
	// StateTransferred means that the KV cache of the prompt is being transferred to a decode engine.
	StateTransferred State = "handed-over"
	// StateDecoding means that the request waits for the first token of the decode engine.
	StateDecoding State = "decoding"
	// StateStreaming means that a part of the response has been sent to the caller.
	StateStreaming State = "streaming"
	// StateFinished means that the complete response has been sent to the caller.
	StateFinished State = "finished"
	// StateRejected means that the request was rejected.
	StateRejected State = "declined"
	// StateUnknown means that the engine has not answered, so that the request may have run.
	StateUnknown State = "unknown"
	// StateFailed means that the request has run, and its engine has failed.
	StateFailed State = "failed"
	// StateTruncated means that the response ended in the middle of the stream.
	StateTruncated State = "cut"
)

// Transitions lists the allowed successors of each state. A transition back to StateQueued is a retry.
// A streaming request is never retried.
var Transitions = map[State][]State{
	StateReceived:    {StateQueued, StateRejected},
	StateQueued:      {StateMatched, StateRejected},
	StateMatched:     {StatePrefilling, StateQueued, StateRejected},
	StatePrefilling:  {StateTransferred, StateMatched, StateRejected, StateUnknown, StateFailed},
	StateTransferred: {StateDecoding, StateMatched, StateFailed, StateUnknown},
	StateDecoding:    {StateStreaming, StateTransferred, StateMatched, StateFailed, StateUnknown},
	StateUnknown:     {StateQueued},
	StateFailed:      {StateQueued},
	StateStreaming:   {StateFinished, StateTruncated},
}

// Outcome tells a caller whether its request has run.
type Outcome string

// The outcomes. The values are sent to callers.
const (
	// OutcomeNotRun means that the request is proven not to have run.
	OutcomeNotRun Outcome = "not run"
	// OutcomeRun means that the request has run, completely or in part.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// StateMachine holds the state of one request. It is not safe for concurrent use.
type StateMachine struct {
	State State
	// Attempted counts the attempts of which a part may have been sent to an engine.
	Attempted int
	// ProvenUnstarted counts the attempts that are proven not to have started.
	ProvenUnstarted int
	// Attempts counts all attempts. The user of the StateMachine updates it.
	Attempts int
}

// NewStateMachine returns a state machine in StateReceived.
func NewStateMachine() *StateMachine { return &StateMachine{State: StateReceived} }

// Transition changes the state. It returns an ExecutionFailed error if Transitions does not allow the
// change.
func (s *StateMachine) Transition(target State) error {
	if !slices.Contains(Transitions[s.State], target) {
		return errcode.New(errcode.ExecutionFailed, "transition from state %s to %s is not allowed", s.State, target)
	}
	s.State = target
	return nil
}

// RecordSend records that an attempt is about to be sent to an engine.
func (s *StateMachine) RecordSend() { s.Attempted++ }

// RecordNotStarted records a proof that the last attempt did not start.
func (s *StateMachine) RecordNotStarted() { s.ProvenUnstarted++ }

// IsUnstarted reports whether the request is proven not to have run at all.
func (s *StateMachine) IsUnstarted() bool { return s.Attempted == s.ProvenUnstarted }

// Outcome returns the outcome that may be reported to the caller.
func (s *StateMachine) Outcome() Outcome {
	switch s.State {
	case StateFinished, StateFailed, StateTruncated:
		return OutcomeRun
	case StateRejected:
		if s.IsUnstarted() {
			return OutcomeNotRun
		}
		return OutcomeUnknown
	default:
		return OutcomeUnknown
	}
}
