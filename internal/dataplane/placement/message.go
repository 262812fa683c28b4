package placement

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// The limits of messages. A message beyond a limit is malformed.
const (
	maxNameBytes    = 256
	maxChunks       = 256
	maxPromptTokens = 1 << 22
	maxExcluded     = 64
	// MaxSamples is the maximum number of samples of each kind in a query.
	MaxSamples = 16
	maxUrgency = 9
)

// Chunk is a part of a prompt that engines cache as a unit.
type Chunk struct {
	Name   string
	Tokens int
}

// PrefillSample is the measured duration of a prefill call that was expected to find no queue.
type PrefillSample struct {
	// Tokens is the number of prompt tokens that the engine computed, Cached the number of tokens before
	// them that the engine had cached.
	Tokens, Cached int
	ElapsedMicros  int64
}

// DecodeSample is the measured duration of a complete response.
type DecodeSample struct {
	// MaxTokens is the maximum number of tokens of the response.
	MaxTokens     int
	ElapsedMicros int64
}

// Query asks an owner for the placement of a request. It also carries the latest samples of the router.
type Query struct {
	// Router and Zone are the name and zone of the router that sends the query.
	Router  string
	Zone    string
	Service string
	// Key distinguishes requests in the order of engines of equal cost.
	Key       string
	Prompt    []Chunk
	BodyBytes int
	// MaxTokens is the maximum number of tokens of the response.
	MaxTokens    int
	Urgency      int
	NonRetryable bool
	// SingleAttempt reports whether the request gets no other prefill engine if the first one rejects it.
	SingleAttempt bool
	// NoSplit forbids prefill and decode on different engines.
	NoSplit bool
	// EventTimeoutMicros is the maximum pause between two events of the response that the route aims at,
	// in microseconds, 0 for no target.
	EventTimeoutMicros int64
	// FetchedTokens is the number of unshared tokens in the KV cache that the decoder fetches. The prompt is then
	// prefilled already and is not in Prompt.
	FetchedTokens int
	// Excluded are the incarnations that must not get the request.
	Excluded []string
	Prefills []PrefillSample
	Decodes  []DecodeSample
}

// Answer is the owner's answer to a Query.
type Answer struct {
	// Placed reports whether the owner has placed the request. If not, the other fields are not used.
	Placed bool
	// Prefiller is the incarnation of the engine that computes the prompt, empty if the decoder computes
	// it.
	Prefiller string
	// Decoder is the incarnation of the engine that generates the response.
	Decoder string
	// UncachedTokens is the estimated number of prompt tokens that have to be computed.
	UncachedTokens int
	// PausedRuns is the number of responses that the decoder would pause for too long if it computed the
	// prompt itself.
	PausedRuns int
	// WaitMicros is the expected queueing time of the prefill, PrefillMicros its expected duration after
	// that, and FirstTokenMicros the cost of the placement, all in microseconds.
	WaitMicros       int64
	PrefillMicros    int64
	FirstTokenMicros int64
	// PrefillTerms are the coefficients of the owner's prefill model, in milliseconds: per call, per
	// thousand tokens and per million pairs of tokens.
	PrefillTerms []float64
}

// EngineReport tells the owner of an engine that a call to the engine failed, or has got no response data for
// longer than expected.
type EngineReport struct {
	// Router is the name of the router that made the call.
	Router      string
	Service     string
	Incarnation string
}

// EngineReportAnswer acknowledges an EngineReport. It carries no information.
type EngineReportAnswer struct {
	// Taken is always 1, so that the message is not empty.
	Taken int
}

// Check returns a MalformedMessage error if the report is out of bounds.
func (r *EngineReport) Check() error {
	if r.Router == "" || r.Service == "" || r.Incarnation == "" {
		return malformed("engine report without a router, service or incarnation")
	}
	if !namesWithinBounds(r.Router, r.Service, r.Incarnation) {
		return malformed("engine report with a name of more than %d bytes", maxNameBytes)
	}
	return nil
}

// PrefillTermCount is the number of coefficients of a prefill model.
const PrefillTermCount = 3

// malformed returns a MalformedMessage error. Its text is formatted as by fmt.Sprintf.
func malformed(format string, arguments ...any) error {
	return errcode.New(errcode.MalformedMessage, "placement: "+format, arguments...)
}

// Check returns a MalformedMessage error if the query is out of bounds.
func (q *Query) Check() error {
	switch {
	case q.Router == "" || q.Service == "" || q.Zone == "":
		return malformed("query without a router, service or zone")
	case !namesWithinBounds(q.Router, q.Zone, q.Service, q.Key):
		return malformed("query with a name of more than %d bytes", maxNameBytes)
	case len(q.Prompt) == 0 || len(q.Prompt) > maxChunks:
		return malformed("query with %d prompt chunks, not 1 to %d", len(q.Prompt), maxChunks)
	case len(q.Excluded) > maxExcluded:
		return malformed("query with %d excluded engines, more than %d", len(q.Excluded), maxExcluded)
	case !namesWithinBounds(q.Excluded...):
		return malformed("query with an excluded engine's name of more than %d bytes", maxNameBytes)
	case len(q.Prefills) > MaxSamples || len(q.Decodes) > MaxSamples:
		return malformed("query with %d prefill and %d decode samples, more than %d of a kind",
			len(q.Prefills), len(q.Decodes), MaxSamples)
	case q.Urgency < 0 || q.Urgency > maxUrgency:
		return malformed("query with urgency %d, not 0 to %d", q.Urgency, maxUrgency)
	case q.FetchedTokens < 0 || q.FetchedTokens > maxPromptTokens:
		return malformed("query with a KV cache of %d tokens, not 0 to %d", q.FetchedTokens, maxPromptTokens)
	case q.BodyBytes < 0 || q.MaxTokens < 0 || q.EventTimeoutMicros < 0:
		return malformed("query with a negative size: body of %d bytes, %d tokens at most, event timeout of %d µs",
			q.BodyBytes, q.MaxTokens, q.EventTimeoutMicros)
	}
	tokens := 0
	for _, chunk := range q.Prompt {
		if chunk.Tokens < 0 || chunk.Tokens > maxPromptTokens || !namesWithinBounds(chunk.Name) {
			return malformed("query with a prompt chunk of %d tokens and a name of %d bytes, not 0 to %d tokens and %d bytes",
				chunk.Tokens, len(chunk.Name), maxPromptTokens, maxNameBytes)
		}
		tokens += chunk.Tokens
	}
	if tokens > maxPromptTokens {
		return malformed("query with a prompt of %d tokens, more than %d", tokens, maxPromptTokens)
	}
	return nil
}

// Check returns a MalformedMessage error if the answer is out of bounds.
func (a *Answer) Check() error {
	if !a.Placed {
		return nil
	}
	if a.Decoder == "" || !namesWithinBounds(a.Prefiller, a.Decoder) {
		return malformed("answer without a decoder, or with an engine name of more than %d bytes", maxNameBytes)
	}
	if a.UncachedTokens < 0 || a.UncachedTokens > maxPromptTokens || a.PausedRuns < 0 {
		return malformed("answer with %d uncached tokens, not 0 to %d, or %d paused responses, less than 0",
			a.UncachedTokens, maxPromptTokens, a.PausedRuns)
	}
	for _, duration := range []int64{a.WaitMicros, a.PrefillMicros, a.FirstTokenMicros} {
		if duration < 0 || duration > int64(maxPlacementTime) {
			return malformed("answer with a duration of %d µs, not 0 to %d", duration, int64(maxPlacementTime))
		}
	}
	if len(a.PrefillTerms) != PrefillTermCount {
		return malformed("answer with %d prefill coefficients, not %d", len(a.PrefillTerms), PrefillTermCount)
	}
	for _, term := range a.PrefillTerms {
		if math.IsNaN(term) || term < 0 {
			return malformed("answer with prefill coefficient %v, negative or not a number", term)
		}
	}
	return nil
}

// maxPlacementTime is the maximum of each duration in an answer.
const maxPlacementTime = 600 * clock.Second

// namesWithinBounds reports whether each name has at most maxNameBytes bytes.
func namesWithinBounds(names ...string) bool {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}
