package platformport

import (
	"context"
	"io"
	"net/http"
)

// Outcome describes what is known about the execution of an attempt.
type Outcome int

// Outcomes of an attempt. OutcomeNotStarted, OutcomeNotSent, OutcomeMisdirected and OutcomeWithdrawn
// prove that the engine has not run the request and will not run it.
const (
	// OutcomeUnknown means that the engine may have run the request.
	OutcomeUnknown Outcome = iota
	// OutcomeNotStarted means that the engine reported that it did not start the request.
	OutcomeNotStarted
	// OutcomeAnswered means that the engine returned a response.
	OutcomeAnswered
	// OutcomeNotSent means that the engine was unreachable and no part of the request was sent.
	OutcomeNotSent
	// OutcomeMisdirected means that the request reached a different incarnation, shard or model
	// version than the intended one, and was not run.
	OutcomeMisdirected
	// OutcomeWithdrawn means that the attempt's Withdrawn returned true, so that no part of the request
	// was sent.
	OutcomeWithdrawn
)

// Load is the load that an engine reports in its responses.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Reported is false if the response contained no load; the other fields are then zero.
	Reported bool
}

// Attempt is a request addressed to one engine. Each retry is a separate Attempt.
type Attempt struct {
	Request
	// Address and Incarnation identify the target engine.
	Address     string
	Incarnation string
	// Urgency ranges from 0 (most urgent) to 9 (least urgent).
	Urgency int
	// KVSource is the address and handle of the KV cache that the engine fetches. It is empty if
	// the engine prefills the prompt itself.
	KVSource string
	// ModelVersion is the expected model version, 0 for any.
	ModelVersion int
	// Tenant is the name of the tenant that the request belongs to, empty if it has none. The
	// engine receives this name regardless of any tenant name that the caller sent.
	Tenant string
	// Withdrawn, if set, reports whether the engine must not get the attempt any more. It is called
	// directly before the request is sent, once a connection is open.
	Withdrawn func() bool
}

// Response is an engine's response. Status, Header and Body are opaque. The receiver must close
// Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body in bytes, -1 if unknown.
	Length int64
	Load   Load
	// Busy reports whether the engine did not start the request because it had no free capacity.
	Busy bool
}

// KVHandle identifies a KV cache that an engine holds for a decode on another engine.
type KVHandle struct {
	Name         string
	Tokens       int
	ModelVersion int
	Load         Load
}

// EngineClient sends requests to engines. The returned Outcome is valid even if the error is not
// nil.
type EngineClient interface {
	// Prefill makes an engine compute the KV cache of a prompt and hold it for a limited time.
	Prefill(context.Context, Attempt) (KVHandle, Outcome, error)
	// Generate makes an engine generate a response.
	Generate(context.Context, Attempt) (Response, Outcome, error)
	// ReleaseKV releases a KV cache that no engine will fetch.
	ReleaseKV(ctx context.Context, address, kvHandle string) error
}

// EngineCommands sends a leader's role commands to engines. SetRole sends through the given
// client, whose connections check the leader's lease before each write. SetRole returns nil once
// the engine has confirmed that the role change is in progress or already in effect.
type EngineCommands interface {
	SetRole(ctx context.Context, client *http.Client, command RoleCommand) error
}

// RoleCommand is a leader's command to an engine to change its role.
type RoleCommand struct {
	// Address is the engine's address.
	Address string
	Role    string
	// LeaseHolder is the name of the leader that holds the lease in Term.
	LeaseHolder string
	Term        uint64
}
