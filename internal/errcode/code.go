// Package errcode defines the numbered result codes of all daemons and commands, and an
// error type that carries one of them.
//
// A function that fails creates an error with [New], or wraps the cause with [Wrap] at the place
// where the result code is known. Code that responds to a caller gets the result code from
// [CodeOf] and the message without stack trace from [Text]. Numbers, names and meanings are part
// of the protocol. They are documented in docs/codes.md, and a test compares that file with
// [Table].
package errcode

import "net/http"

// Code is the numbered result of a request or a command. The thousands digit groups the codes by
// the component that reports them and by what is known about the request's execution.
type Code int

// Result codes. The meaning of a number never changes, and numbers are never reused.
const (
	// OK means that the request was executed.
	OK Code = 0

	// The request is invalid and was not executed.
	Malformed          Code = 1000
	UnknownField       Code = 1001
	Oversized          Code = 1002
	UnknownService     Code = 1003
	UnknownTenant      Code = 1004
	UnknownRequestKind Code = 1005
	InvalidTimeout     Code = 1006
	KeyReused          Code = 1007
	KeyMissing         Code = 1008
	WrongMethod        Code = 1009
	UnknownPrefix      Code = 1010
	UnknownRoute       Code = 1011
	Unauthenticated    Code = 1012

	// The request is valid but was not executed.
	NoEngine             Code = 2000
	RouterStale          Code = 2001
	QueueFull            Code = 2002
	DeadlineExceeded     Code = 2003
	RouterDraining       Code = 2004
	RetryBudgetExhausted Code = 2005
	IdempotencyTableFull Code = 2006
	ReservationNoQuorum  Code = 2007

	// The request was executed or may have been executed.
	ExecutionUnknown  Code = 3000
	StreamInterrupted Code = 3001
	ExecutionTimeout  Code = 3002
	ExecutionFailed   Code = 3003

	// A change to the control plane's state was rejected, or its outcome is unknown.
	ConfigurationInvalid   Code = 4000
	RevisionStale          Code = 4001
	UnknownZone            Code = 4002
	OutcomeUnknown         Code = 4003
	NotLeader              Code = 4004
	NoQuorum               Code = 4005
	UnknownOperation       Code = 4006
	ConfigurationTooCostly Code = 4007
	UnknownRegion          Code = 4008
	LastRegion             Code = 4009
	MaintenanceStarted     Code = 4010
	EntryNumberTaken       Code = 4011
	OutboxFull             Code = 4012
	OutboxIncomplete       Code = 4013

	// A daemon can't start.
	InvalidSetting Code = 5000
	AddressInUse   Code = 5001
	StartFailed    Code = 5002

	// A control plane server can't read or write its write-ahead log.
	LogCorrupted   Code = 6000
	LogWriteFailed Code = 6001

	// A message between daemons was rejected or lost.
	ForeignFleet     Code = 7000
	MalformedMessage Code = 7001
	LeaseExpired     Code = 7002
	ConnectionLost   Code = 7003
	TermStale        Code = 7004

	// An engine's own response. See [Code.ProvesNotStarted].
	EngineBusy            Code = 8000
	EngineDraining        Code = 8001
	EngineVersionMismatch Code = 8002
	KVHandleUnknown       Code = 8003
	EngineRoleMismatch    Code = 8004
	EngineWarmingUp       Code = 8005
	EngineStopping        Code = 8006

	// Cancelled means that the caller disconnected, or that the router cancelled the run.
	Cancelled Code = 8007
)

// Entry describes one code.
type Entry struct {
	Code Code
	// Name is the code's stable name, sent to callers beside the number.
	Name string
	// Status is the HTTP status of a response with this code, 0 if the code is never sent over
	// HTTP.
	Status int
	// Meaning is the description of the code in docs/codes.md.
	Meaning string
}

// Table lists all codes in ascending order.
var Table = []Entry{
	{OK, "fine", 200, "executed"},
	{Malformed, "malformed", 400, "the body is not the JSON that was expected"},
	{UnknownField, "unknown-field", 400, "the body has a field that is not known"},
	{Oversized, "oversized", 413, "the body is larger than allowed"},
	{UnknownService, "unknown-service", 404, "no such service in the configuration in force"},
	{UnknownTenant, "unknown-tenant", 404, "no such tenant in the configuration in force"},
	{UnknownRequestKind, "unknown-kind", 404, "the tenant has no template of this kind of request"},
	{InvalidTimeout, "bad-budget", 400, "the timeout asked for is negative or above the template's"},
	{KeyReused, "key-reused", 409, "a request with this key is running or has ended; its outcome is reported as far as known"},
	{KeyMissing, "key-missing", 400, "a request carries a key of 1 to 128 characters"},
	{WrongMethod, "wrong-method", 405, "the method does not fit the path"},
	{UnknownPrefix, "unknown-prefix", 404, "the engine registry has no such shared prefix"},
	{UnknownRoute, "unknown-route", 404, "no route in force matches this host and path; not run"},
	{Unauthenticated, "unauthenticated", 401, "the request carries no API key that the configuration in force knows; not run"},
	{NoEngine, "no-engine", 503, "no engine in force can take the request now; not run"},
	{RouterStale, "router-stale", 503, "this router cannot prove its configuration is in force; not run"},
	{QueueFull, "queue-full", 503, "the queue is full, or the wait in it would exceed the timeout; not run"},
	{DeadlineExceeded, "budget-spent", 503, "the start timeout expired before an engine accepted it; not run"},
	{RouterDraining, "router-leaving", 503, "this router is draining; not run"},
	{RetryBudgetExhausted, "repeats-spent", 503, "a retry was needed, but the retry budget is used up"},
	{IdempotencyTableFull, "keys-full", 503, "the table of idempotency keys is full; not run"},
	{ReservationNoQuorum, "claim-unheard", 503, "no majority of control daemons could reserve the key for this request; not run"},
	{ExecutionUnknown, "ending-unknown", 502, "the request may have run; do not take it as not run"},
	{StreamInterrupted, "stream-cut", 502, "the answer broke off; the connection is closed without a final frame"},
	{ExecutionTimeout, "abandoned", 504, "the answer was not complete within its timeout; it ran in part"},
	{ExecutionFailed, "run-failed", 502, "an engine ran the request and reported that it failed"},
	{ConfigurationInvalid, "configuration-invalid", 400, "the configuration was rejected; location and reason follow"},
	{RevisionStale, "sequence-stale", 409, "another change came first; nothing was changed"},
	{UnknownZone, "unknown-hall", 404, "the configuration has no such zone; nothing was changed"},
	{OutcomeUnknown, "outcome-unknown", 504, "not known whether it took effect; ask by its operation key"},
	{NotLeader, "not-owner", 503, "this control daemon does not lead the shard now; retry"},
	{NoQuorum, "no-majority", 503, "no majority of control daemons answered; the outcome is not stated"},
	{UnknownOperation, "unknown-operation", 404, "no operation with this key has been committed"},
	{ConfigurationTooCostly, "configuration-costly", 413, "the document would take too long to evaluate; nothing was changed"},
	{UnknownRegion, "unknown-region", 404, "no zone is known to be in this region; nothing was changed"},
	{LastRegion, "last-region", 409, "every other region has a maintenance window; nothing was changed"},
	{MaintenanceStarted, "notice-begun", 409, "the region's maintenance has already begun; cancel it first; nothing was changed"},
	{EntryNumberTaken, "entry-number-taken", 409, "the outbox has accepted this number of the subject, or a higher one, before; nothing was changed"},
	{OutboxFull, "outbox-full", 503, "too many calls to the platform are not delivered yet; nothing was changed"},
	{OutboxIncomplete, "outbox-incomplete", 503, "the outbox was lost here and must be reset first; nothing was changed"},
	{InvalidSetting, "setting-bad", 0, "a flag or setting is wrong; its name follows"},
	{AddressInUse, "address-taken", 0, "the address can't be listened on"},
	{StartFailed, "start-failed", 0, "the daemon could not start"},
	{LogCorrupted, "journal-broken", 0, "the write-ahead log is damaged in its middle; see the runbook"},
	{LogWriteFailed, "journal-write", 0, "the write-ahead log could not be written or synced"},
	{ForeignFleet, "foreign-fleet", 403, "the message is of another fleet; dropped"},
	{MalformedMessage, "garbage", 400, "the message between daemons can't be decoded; dropped"},
	{LeaseExpired, "grant-spent", 0, "the lease would not outlast the command; nothing was sent"},
	{ConnectionLost, "circuit-lost", 502, "the other side could not be reached or fell silent"},
	{TermStale, "round-stale", 409, "a higher term has been promised"},
	{EngineBusy, "engine-busy", 429, "the engine's own answer: full, did not start"},
	{EngineDraining, "engine-leaving", 429, "the engine's own answer: draining, did not start"},
	{EngineVersionMismatch, "engine-version", 429, "the engine's own answer: other model version, did not start"},
	{KVHandleUnknown, "ticket-void", 410, "the engine's own answer: no KV cache for this handle, did not start"},
	{EngineRoleMismatch, "engine-part", 429, "the engine's own answer: it has the other role, did not start"},
	{EngineWarmingUp, "engine-cold", 429, "the engine's own answer: still warming up, did not start"},
	{EngineStopping, "engine-stopping", 429, "the engine's own answer: stopping, did not start"},
	{Cancelled, "cancelled", 499, "the caller disconnected, or the router cancelled the run by name"},
}

// entryByCode maps each code to its entry in Table. It is read-only after initialization.
var entryByCode = func() map[Code]Entry {
	index := make(map[Code]Entry, len(Table))
	for _, entry := range Table {
		index[entry.Code] = entry
	}
	return index
}()

// String returns the code's name, or "unnamed" for a number that is not in the table.
func (c Code) String() string {
	if entry, known := entryByCode[c]; known {
		return entry.Name
	}
	return "unnamed"
}

// Status returns the HTTP status of a response with the code, 500 if the code has no status.
func (c Code) Status() int {
	if entry := entryByCode[c]; entry.Status != 0 {
		return entry.Status
	}
	return http.StatusInternalServerError
}

// ProvesNotStarted reports whether the code proves that the engine did not start the run, so that
// the request may be sent to another engine. The code must come from the engine itself.
func (c Code) ProvesNotStarted() bool {
	return c >= EngineBusy && c <= EngineStopping
}
