package platformport

import (
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/state/credential"
)

// PromptChunk is one chunk of a prompt. An engine's prefix cache contains a chunk only if it also
// contains all preceding chunks of the prompt.
type PromptChunk struct {
	Name   string
	Tokens int
}

// TotalTokens returns the number of tokens of a prompt.
func TotalTokens(prompt []PromptChunk) int {
	tokens := 0
	for _, chunk := range prompt {
		tokens += chunk.Tokens
	}
	return tokens
}

// UnsharedTokens returns the number of tokens of a prompt's last chunk, which no other request shares.
func UnsharedTokens(prompt []PromptChunk) int {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].Tokens
}

// Request is a caller's request. Method, Target, Header and Body are opaque and are forwarded
// unchanged.
type Request struct {
	Method string
	Target string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
	// RequestID is unique to this request. A caller's retry has a different RequestID.
	RequestID string
	// Timeout is the time that the caller waits, measured from when the request was read.
	Timeout clock.Microseconds
	// Model is the name of the requested model, empty if the request specifies none.
	Model string
	// Prompt lists the prompt's chunks in order.
	Prompt []PromptChunk
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// LastEventID is the ID of the last event that the caller received, empty for a new stream.
	LastEventID string
	// Credential is the caller's credential as read by the frontend. Header contains no part of
	// the credential, so that it never reaches an engine.
	Credential credential.Presented
}
