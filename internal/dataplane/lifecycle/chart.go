// Package relay is the way of a request through a router: a state chart with
// named states, and the honest ending that follows from it.
package relay

import "coursepass/internal/errcode"

// State is where a request stands.
type State string

// The states.
const (
	Received   State = "received"
	Enrolled   State = "enrolled"
	Matched    State = "matched"
	Prefilling State = "prefilling"
	HandedOver State = "handed-over"
	Decoding   State = "decoding"
	Streaming  State = "streaming"
	Finished   State = "finished"
	Declined   State = "declined"
	Unknown    State = "unknown"
	Failed     State = "failed"
	Cut        State = "cut"
)

// Moves is the table of allowed moves. Streaming is never left for another try;
// the ways back to Enrolled are repeats, which again decides on.
var Moves = map[State][]State{
	Received:   {Enrolled, Declined},
	Enrolled:   {Matched, Declined},
	Matched:    {Prefilling, Enrolled, Declined},
	Prefilling: {HandedOver, Matched, Declined, Unknown, Failed},
	HandedOver: {Decoding, Matched, Failed, Unknown},
	Decoding:   {Streaming, HandedOver, Matched, Failed, Unknown},
	Unknown:    {Enrolled},
	Failed:     {Enrolled},
	Streaming:  {Finished, Cut},
}

// Ending is what a caller is told became of a request.
type Ending string

// The endings.
const (
	NotRun  Ending = "not run"
	Run     Ending = "run"
	Unclear Ending = "unknown"
)

// Chart follows one request.
type Chart struct {
	State State
	// Sent counts the tries whose bytes may have left towards an engine; Proved
	// those that an engine's own answer shows not to have started.
	Sent   int
	Proved int
	Tries  int
}

// NewChart begins at Received.
func NewChart() *Chart { return &Chart{State: Received} }

// Move goes to a state; a move that is not in the table is a mishap.
func (s *Chart) Move(to State) error {
	for _, allowed := range Moves[s.State] {
		if allowed == to {
			s.State = to
			return nil
		}
	}
	return mishap.New(mishap.RunFailed, "no move from %s to %s", s.State, to)
}

// Leave notes that bytes may leave towards an engine.
func (s *Chart) Leave() { s.Sent++ }

// Prove notes an engine's own answer that the last try did not start.
func (s *Chart) Prove() { s.Proved++ }

// Unstarted tells whether it is proved that nothing of the request ran.
func (s *Chart) Unstarted() bool { return s.Sent == s.Proved }

// Ending follows from the state and the proofs, never from a guess.
func (s *Chart) Ending() Ending {
	switch s.State {
	case Finished, Failed, Cut:
		return Run
	case Declined:
		if s.Unstarted() {
			return NotRun
		}
	}
	return Unclear
}
