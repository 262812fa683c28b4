// Package platformport names what the product asks of the place it runs in, in its own words.
// The product's own HTTP/JSON interface serves each port; an adapter may serve it as well.
package platformport

import (
	"context"
	"io"
	"net/http"

	"coursepass/internal/clock"
)

// PromptChunk is one part of a prompt, in order. A piece is held by an engine only if all
// pieces before it are.
type PromptChunk struct {
	Name   string
	Tokens int
}

// Request is a caller's request. Method, target, headers and body are opaque.
type Request struct {
	Method string
	Target string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
	// RequestID names this try of the caller, unlike any other.
	RequestID string
	// Timeout is how long the caller waits, from when the call was read.
	Timeout clock.Microseconds
	// Prompt is the prompt's pieces, Tokens the most that are made.
	Model     string
	Prompt    []PromptChunk
	MaxTokens int
	// LastEventID is the last event that the caller has, empty for a new stream.
	LastEventID string
}

// Outcome says what is known of a try at an engine.
type Outcome int

// The outcomes. Only Unstarted proves that the engine has not run the call and will not.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotStarted
	OutcomeAnswered
	// OutcomeNotSent: nothing left for the engine, it could not be reached.
	OutcomeNotSent
	// OutcomeMisdirected: the engine has another life, part or model version; nothing was run.
	OutcomeMisdirected
)

// Load is what an engine tells of itself with its answers.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Reported bool
}

// Attempt is one sending of a call to an engine.
type Attempt struct {
	Request
	Address     string
	Incarnation string
	// Urgency is 0 for the most urgent, 9 for the least.
	Urgency int
	// KVSource is address and ticket of prompt memory, empty if the engine reads by itself.
	KVSource string
	// ModelVersion is the model version that is expected, 0 for any.
	ModelVersion int
}

// Response is an engine's answer: opaque, but for what the product needs of it. Body must
// be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64
	Load   Load
	// Busy says that an engine that did not start was full.
	Busy bool
}

// KVHandle names prompt memory that an engine holds.
type KVHandle struct {
	Name         string
	Tokens       int
	ModelVersion int
	Load         Load
}

// EngineClient speaks to engines. The outcome holds when the error is not nil, too.
type EngineClient interface {
	// Prefill has an engine read a prompt, and keep its memory for a while.
	Prefill(context.Context, Attempt) (KVHandle, Outcome, error)
	// Generate has an engine make an answer.
	Generate(context.Context, Attempt) (Response, Outcome, error)
	// ReleaseKV gives prompt memory back that is not taken.
	ReleaseKV(ctx context.Context, address, kvHandle string) error
}

// Engine is one engine's life as the directory lists it.
type Engine struct {
	Incarnation string
	Service     string
	Address     string
	Zone        string
	Slots       int
	Draining    bool
	// Role is contract.Prefill, contract.Decode or contract.Both.
	Role string
	// WarmupRemaining is how much longer the engine is cold.
	WarmupRemaining clock.Microseconds
	// ModelVersion is the version of its model.
	ModelVersion int
}

// Directory lists all engines of all services. An error means that nothing is known;
// an empty list means that there are none.
type Directory interface {
	List(context.Context) ([]Engine, error)
}

// EngineCommands posts a leader's order to an engine through the given client, whose circuits
// check the leader's right at each write. It returns nil once the engine has said that
// it is under way or already holds.
type EngineCommands interface {
	SetRole(ctx context.Context, client *http.Client, address, role, leaseHolder string, term uint64) error
}

// ResponseWriter is the side of a call that waits for its answer. Head comes once, then Write for
// each piece as it arrives; Decline ends a call that has no head yet.
type ResponseWriter interface {
	// WriteHead begins the answer of an engine, unchanged. Length is -1 if it is not known.
	WriteHead(status int, header http.Header, length int64)
	// Write passes bytes on at once.
	Write([]byte) error
	// Reject answers with a numbered code; retry tells when to come back, if above zero.
	Reject(failure error, retryAfter clock.Microseconds)
}

// Proxy carries calls. It returns whether the answer is whole; one that is not must be
// broken off visibly once its head is out.
type Proxy interface {
	Forward(context.Context, Request, ResponseWriter) bool
	// Ready tells whether new callers may come.
	Ready() bool
	// Limits are what callers may send, zero where nothing is in force yet.
	Limits() (header, body int)
}
