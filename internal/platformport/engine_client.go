package platformport

import (
	"context"
	"io"
	"net/http"
)

// Outcome is what is known of an attempt at an engine.
type Outcome int

// The outcomes. OutcomeNotStarted, OutcomeNotSent and OutcomeMisdirected prove that the engine
// has not run the request and will not run it.
const (
	// OutcomeUnknown is an attempt that the engine may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotStarted is an attempt that the engine itself declared not started.
	OutcomeNotStarted
	// OutcomeAnswered is an attempt that the engine answered.
	OutcomeAnswered
	// OutcomeNotSent is an attempt of which nothing left for the engine, as it could not be reached.
	OutcomeNotSent
	// OutcomeMisdirected is an attempt that reached another incarnation, shard or model version
	// than was meant, and was not run.
	OutcomeMisdirected
)

// Load is the load that an engine reports with its responses.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Reported is false if the response carried no load; the other fields are then zero.
	Reported bool
}

// Attempt is one sending of a request to an engine.
type Attempt struct {
	Request
	// Address and Incarnation identify the engine that is meant.
	Address     string
	Incarnation string
	// Urgency is 0 for the most urgent request and 9 for the least.
	Urgency int
	// KVSource is the address and handle of the KV cache to take over, empty if the engine
	// prefills by itself.
	KVSource string
	// ModelVersion is the model version that is expected, 0 for any.
	ModelVersion int
	// Tenant is the name of the tenant that the request belongs to, empty if it has none. The
	// engine is told this name, whatever the caller sent.
	Tenant string
}

// Response is an engine's response. Status, header and body are opaque. The receiver closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body in bytes, -1 if it is not known.
	Length int64
	Load   Load
	// Busy reports that an engine that did not start the request had no capacity left.
	Busy bool
}

// KVHandle identifies a KV cache that an engine holds for a decode elsewhere.
type KVHandle struct {
	Name         string
	Tokens       int
	ModelVersion int
	Load         Load
}

// EngineClient sends requests to engines. The returned Outcome is valid whether or not the error is nil.
type EngineClient interface {
	// Prefill has an engine read a prompt and keep its KV cache for a while.
	Prefill(context.Context, Attempt) (KVHandle, Outcome, error)
	// Generate has an engine generate a response.
	Generate(context.Context, Attempt) (Response, Outcome, error)
	// ReleaseKV releases a KV cache that no engine will take over.
	ReleaseKV(ctx context.Context, address, kvHandle string) error
}

// EngineCommands sends a leader's role command to an engine through the given client, whose
// connections check the leader's lease at each write. It returns nil once the engine has
// confirmed that the change is under way or already in effect.
type EngineCommands interface {
	SetRole(ctx context.Context, client *http.Client, command RoleCommand) error
}

// RoleCommand is a leader's command to an engine to change its role.
type RoleCommand struct {
	// Address is the engine's address.
	Address string
	Role    string
	// LeaseHolder is the name of the leader that holds the lease of Term.
	LeaseHolder string
	Term        uint64
}
