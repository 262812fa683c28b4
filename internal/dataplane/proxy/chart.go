package carrier

import (
	"slices"

	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
)

// Resuming is a stream that its engine cut, and that another engine may go on with.
const Resuming relay.State = "resuming"

// Moves is the table of allowed moves of a carried request. Unlike the product's own
// callers, those of a route that may be resumed get another run behind the last event.
var Moves = map[relay.State][]relay.State{
	relay.Received:   {relay.Enrolled, relay.Declined},
	relay.Enrolled:   {relay.Matched, relay.Declined},
	relay.Matched:    {relay.Prefilling, relay.Decoding, relay.Enrolled, Resuming},
	relay.Prefilling: {relay.HandedOver, relay.Enrolled, Resuming},
	relay.HandedOver: {relay.Decoding, relay.Enrolled, Resuming},
	relay.Decoding:   {relay.Streaming, relay.Enrolled, relay.Unknown, Resuming},
	relay.Unknown:    {relay.Enrolled, Resuming},
	relay.Streaming:  {relay.Finished, relay.Cut, Resuming},
	// A stream whose move came to nothing goes on where it was.
	Resuming: {relay.Matched, relay.Cut, relay.Streaming},
}

// chart follows one carried request.
type chart struct {
	relay.Chart
	// astray counts steps that the table does not allow.
	astray int64
}

func newChart() *chart { return &chart{Chart: *relay.NewChart()} }

// Move goes to a state; a move that is not in the table is a mishap.
func (r *chart) Move(to relay.State) error {
	if !slices.Contains(Moves[r.State], to) {
		return mishap.New(mishap.RunFailed, "no move from %s to %s", r.State, to)
	}
	r.State = to
	return nil
}

// back is where a request stands between two tries.
func (r *chart) back(headed bool) {
	if headed {
		r.step(Resuming)
		return
	}
	r.step(relay.Enrolled)
}

// step goes to a state that the code has already made sure of.
func (r *chart) step(to relay.State) {
	if r.State != to && r.Move(to) != nil {
		r.astray++
	}
}
