package placement

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// Bounds of what a message may have. What is beyond them is malformed.
const (
	maxNameBytes    = 256
	maxChunks       = 256
	maxPromptTokens = 1 << 22
	maxExcluded     = 64
	// MaxSamples is how many samples of each kind a query may have.
	MaxSamples = 16
	maxUrgency = 9
)

// Chunk is a part of a prompt.
type Chunk struct {
	Name   string
	Tokens int
}

// PrefillSample is what a router has seen of a prefill call that was expected to find no queue: how long an
// engine took to compute tokens after others that it had cached.
type PrefillSample struct {
	Tokens, Cached int
	ElapsedMicros  int64
}

// DecodeSample is what a router has seen of a response: how long it lasted, and how many tokens it might
// have had.
type DecodeSample struct {
	MaxTokens     int
	ElapsedMicros int64
}

// Query asks an owner for a placement. It also tells what the router has seen lately.
type Query struct {
	// Router and Zone are those of the router that asks.
	Router  string
	Zone    string
	Service string
	// Key tells requests apart.
	Key       string
	Prompt    []Chunk
	BodyBytes int
	// MaxTokens is how many tokens the response may have.
	MaxTokens    int
	Urgency      int
	NonRetryable bool
	// SingleAttempt says that the request gets no further prefill engine if the first one rejects it.
	SingleAttempt bool
	// NoSplit forbids prefilling and decoding at two engines.
	NoSplit bool
	// EventTimeoutMicros is the longest pause between two events that the route aims at, 0 for none.
	EventTimeoutMicros int64
	// Excluded are the incarnations that may not get the request.
	Excluded []string
	Prefills []PrefillSample
	Decodes  []DecodeSample
}

// Answer is a placement, or that there is none.
type Answer struct {
	Placed bool
	// Prefiller is empty if the decoder prefills by itself.
	Prefiller string
	Decoder   string
	// UncachedTokens is how many tokens of the prompt have to be computed.
	UncachedTokens int
	// PausedRuns is how many responses the decoder pauses for too long if it prefills by itself.
	PausedRuns int
	// WaitMicros is how long the prefill is expected to be queued, PrefillMicros how long it is expected to
	// take after that, FirstTokenMicros the cost of the placement.
	WaitMicros       int64
	PrefillMicros    int64
	FirstTokenMicros int64
	// PrefillTerms are the coefficients of the owner's prefill model, in milliseconds: for a call, for a
	// thousand tokens, for a million pairs of tokens.
	PrefillTerms []float64
}

// EngineReport tells the owner of an engine that a call to the engine failed, or has shown nothing for longer
// than expected.
type EngineReport struct {
	// Router is the one that made the call.
	Router      string
	Service     string
	Incarnation string
}

// EngineReportAnswer is the answer to a report. It says nothing.
type EngineReportAnswer struct {
	// Taken is 1, so that the message is not empty.
	Taken int
}

// Check returns a MalformedMessage error if the report is out of bounds.
func (r *EngineReport) Check() error {
	if r.Router == "" || r.Service == "" || r.Incarnation == "" {
		return malformed("a name is missing")
	}
	if !namesWithinBounds(r.Router, r.Service, r.Incarnation) {
		return malformed("a long name")
	}
	return nil
}

// PrefillTermCount is how many coefficients a prefill model has.
const PrefillTermCount = 3

// malformed returns the error for a message that breaks a bound.
func malformed(what string) error {
	return errcode.New(errcode.MalformedMessage, "placement: %s", what)
}

// Check returns a MalformedMessage error if the query is out of bounds.
func (q *Query) Check() error {
	switch {
	case q.Router == "" || q.Service == "" || q.Zone == "":
		return malformed("a name is missing")
	case !namesWithinBounds(q.Router, q.Zone, q.Service, q.Key):
		return malformed("a long name")
	case len(q.Prompt) == 0 || len(q.Prompt) > maxChunks:
		return malformed("the number of chunks")
	case len(q.Excluded) > maxExcluded:
		return malformed("the number of engines")
	case !namesWithinBounds(q.Excluded...):
		return malformed("a long name of an engine")
	case len(q.Prefills) > MaxSamples || len(q.Decodes) > MaxSamples:
		return malformed("the number of samples")
	case q.Urgency < 0 || q.Urgency > maxUrgency:
		return malformed("the urgency")
	case q.BodyBytes < 0 || q.MaxTokens < 0 || q.EventTimeoutMicros < 0:
		return malformed("a negative size")
	}
	tokens := 0
	for _, chunk := range q.Prompt {
		if chunk.Tokens < 0 || chunk.Tokens > maxPromptTokens || !namesWithinBounds(chunk.Name) {
			return malformed("a chunk")
		}
		tokens += chunk.Tokens
	}
	if tokens > maxPromptTokens {
		return malformed("the size of the prompt")
	}
	return nil
}

// Check returns a MalformedMessage error if the answer is out of bounds.
func (a *Answer) Check() error {
	if !a.Placed {
		return nil
	}
	if a.Decoder == "" || !namesWithinBounds(a.Prefiller, a.Decoder) {
		return malformed("the name of an engine")
	}
	if a.UncachedTokens < 0 || a.UncachedTokens > maxPromptTokens || a.PausedRuns < 0 {
		return malformed("the number of tokens")
	}
	for _, duration := range []int64{a.WaitMicros, a.PrefillMicros, a.FirstTokenMicros} {
		if duration < 0 || duration > int64(maxPlacementTime) {
			return malformed("a duration")
		}
	}
	if len(a.PrefillTerms) != PrefillTermCount {
		return malformed("the prefill model")
	}
	for _, term := range a.PrefillTerms {
		if math.IsNaN(term) || term < 0 {
			return malformed("the prefill model")
		}
	}
	return nil
}

// maxPlacementTime bounds the durations of an answer.
const maxPlacementTime = 600 * clock.Second

// namesWithinBounds reports whether no name is too long.
func namesWithinBounds(names ...string) bool {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}
