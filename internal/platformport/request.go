package platformport

import (
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/state/credential"
)

// PromptChunk is one chunk of a prompt, in order. An engine holds a chunk in its prefix
// cache only if it holds all chunks before it as well.
type PromptChunk struct {
	Name   string
	Tokens int
}

// Request is a caller's request. Method, target, headers and body are opaque and are
// forwarded unchanged.
type Request struct {
	Method string
	Target string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
	// RequestID identifies this attempt of the caller; no two attempts share one.
	RequestID string
	// Timeout is how long the caller waits, counted from when the request was read.
	Timeout clock.Microseconds
	// Model names the model that is asked for, empty if the request names none.
	Model string
	// Prompt lists the prompt's chunks.
	Prompt []PromptChunk
	// MaxTokens is the largest number of tokens that may be generated.
	MaxTokens int
	// LastEventID is the last event that the caller has received, empty for a new stream.
	LastEventID string
	// Credential is the caller's, as the frontend read it. Header has no part of it, so that it
	// never reaches an engine.
	Credential credential.Presented
}
