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
	// StateQueued requests wait for an engine.
	StateQueued State = "enrolled"
	// StateMatched requests have an engine.
	StateMatched State = "matched"
	// StatePrefilling requests have been sent to a prefill engine.
	StatePrefilling State = "prefilling"
	// StateTransferred requests have their KV cache on the way to a decode engine.
	StateTransferred State = "handed-over"
	// StateDecoding requests wait for the first token.
	StateDecoding State = "decoding"
	// StateStreaming requests have sent a token to the caller.
	StateStreaming State = "streaming"
	// StateFinished requests have been answered completely.
	StateFinished State = "finished"
	// StateRejected requests were refused.
	StateRejected State = "declined"
	// StateUnknown requests may have run: their engine has not answered.
	StateUnknown State = "unknown"
	// StateFailed requests have run, and their engine has failed.
	StateFailed State = "failed"
	// StateTruncated requests ended in the middle of the stream.
	StateTruncated State = "cut"
)

// Transitions are the allowed transitions. A streaming request is never retried. The
// transitions back to StateQueued are the retries.
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
	// OutcomeNotRun means it is proved that the request has not run.
	OutcomeNotRun Outcome = "not run"
	// OutcomeRun means that the request has run, completely or in part.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that neither is known.
	OutcomeUnknown Outcome = "unknown"
)

// StateMachine follows one request. It is not safe for concurrent use.
type StateMachine struct {
	State State
	// Attempted counts the attempts whose bytes may have been sent to an engine, and
	// ProvenUnstarted those that an engine's own answer shows not to have started.
	Attempted       int
	ProvenUnstarted int
	// Attempts counts all attempts. The router writes it.
	Attempts int
}

// NewStateMachine returns a machine in StateReceived.
func NewStateMachine() *StateMachine { return &StateMachine{State: StateReceived} }

// Transition changes the state, or fails with the code ExecutionFailed if the transition is
// not allowed.
func (s *StateMachine) Transition(target State) error {
	if !slices.Contains(Transitions[s.State], target) {
		return errcode.New(errcode.ExecutionFailed, "no move from %s to %s", s.State, target)
	}
	s.State = target
	return nil
}

// RecordSend records that bytes may be sent to an engine from now on.
func (s *StateMachine) RecordSend() { s.Attempted++ }

// RecordNotStarted records an engine's answer that the last attempt did not start.
func (s *StateMachine) RecordNotStarted() { s.ProvenUnstarted++ }

// IsUnstarted reports whether it is proved that nothing of the request has run.
func (s *StateMachine) IsUnstarted() bool { return s.Attempted == s.ProvenUnstarted }

// Outcome returns what the state and the proofs allow to report.
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
