// Package lifecycle is the way of a request through a router: a state chart with
// named states, and the honest ending that follows from it.
package lifecycle

import "coursepass/internal/errcode"

// State is where a request stands.
type State string

// The states.
const (
	StateReceived    State = "received"
	StateQueued      State = "enrolled"
	StateMatched     State = "matched"
	StatePrefilling  State = "prefilling"
	StateTransferred State = "handed-over"
	StateDecoding    State = "decoding"
	StateStreaming   State = "streaming"
	StateFinished    State = "finished"
	StateRejected    State = "declined"
	StateUnknown     State = "unknown"
	StateFailed      State = "failed"
	StateTruncated   State = "cut"
)

// Transitions is the table of allowed moves. Streaming is never left for another try;
// the ways back to Enrolled are repeats, which again decides on.
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

// Outcome is what a caller is told became of a request.
type Outcome string

// The endings.
const (
	OutcomeNotRun  Outcome = "not run"
	OutcomeRun     Outcome = "run"
	OutcomeUnknown Outcome = "unknown"
)

// StateMachine follows one request.
type StateMachine struct {
	State State
	// Attempted counts the tries whose bytes may have left towards an engine; Proved
	// those that an engine's own answer shows not to have started.
	Attempted       int
	ProvenUnstarted int
	Attempts        int
}

// NewStateMachine begins at Received.
func NewStateMachine() *StateMachine { return &StateMachine{State: StateReceived} }

// Transition goes to a state; a move that is not in the table is a mishap.
func (s *StateMachine) Transition(target State) error {
	for _, allowed := range Transitions[s.State] {
		if allowed == target {
			s.State = target
			return nil
		}
	}
	return errcode.New(errcode.ExecutionFailed, "no move from %s to %s", s.State, target)
}

// RecordSend notes that bytes may leave towards an engine.
func (s *StateMachine) RecordSend() { s.Attempted++ }

// RecordNotStarted notes an engine's own answer that the last try did not start.
func (s *StateMachine) RecordNotStarted() { s.ProvenUnstarted++ }

// IsUnstarted tells whether it is proved that nothing of the request ran.
func (s *StateMachine) IsUnstarted() bool { return s.Attempted == s.ProvenUnstarted }

// Outcome follows from the state and the proofs, never from a guess.
func (s *StateMachine) Outcome() Outcome {
	switch s.State {
	case StateFinished, StateFailed, StateTruncated:
		return OutcomeRun
	case StateRejected:
		if s.IsUnstarted() {
			return OutcomeNotRun
		}
	}
	return OutcomeUnknown
}
