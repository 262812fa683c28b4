// Package mishap names everything that can go wrong: numbered result codes and
// the one helper that wraps and names errors.
package mishap

// Code is a numbered result. The table in docs/codes.md lists all of them.
type Code int

// The result codes. Numbers never change their meaning.
const (
	Fine Code = 0

	Malformed      Code = 1000
	UnknownField   Code = 1001
	Oversized      Code = 1002
	UnknownService Code = 1003
	UnknownTenant  Code = 1004
	UnknownKind    Code = 1005
	BadBudget      Code = 1006
	KeyReused      Code = 1007
	KeyMissing     Code = 1008
	WrongMethod    Code = 1009
	UnknownPrefix  Code = 1010
	UnknownRoute   Code = 1011

	NoEngine      Code = 2000
	RouterStale   Code = 2001
	QueueFull     Code = 2002
	BudgetSpent   Code = 2003
	RouterLeaving Code = 2004
	RepeatsSpent  Code = 2005
	KeysFull      Code = 2006
	ClaimUnheard  Code = 2007

	EndingUnknown Code = 3000
	StreamCut     Code = 3001
	Abandoned     Code = 3002
	RunFailed     Code = 3003

	ConfigurationInvalid Code = 4000
	SequenceStale        Code = 4001
	UnknownHall          Code = 4002
	OutcomeUnknown       Code = 4003
	NotOwner             Code = 4004
	NoMajority           Code = 4005
	UnknownOperation     Code = 4006
	ConfigurationCostly  Code = 4007
	UnknownRegion        Code = 4008
	LastRegion           Code = 4009
	NoticeBegun          Code = 4010

	SettingBad    Code = 5000
	AddressTaken  Code = 5001
	StartFailed   Code = 5002
	JournalBroken Code = 6000
	JournalWrite  Code = 6001
	ForeignFleet  Code = 7000
	Garbage       Code = 7001
	GrantSpent    Code = 7002
	CircuitLost   Code = 7003
	RoundStale    Code = 7004

	EngineBusy     Code = 8000
	EngineLeaving  Code = 8001
	EngineVersion  Code = 8002
	TicketVoid     Code = 8003
	EnginePart     Code = 8004
	EngineCold     Code = 8005
	EngineStopping Code = 8006
	Cancelled      Code = 8007
)

// Entry describes one code in the table.
type Entry struct {
	Code    Code
	Name    string
	Status  int
	Meaning string
}

// Table is every code with its HTTP status and meaning, in order.
var Table = []Entry{
	{Fine, "fine", 200, "done"},
	{Malformed, "malformed", 400, "the body is not the JSON that was expected"},
	{UnknownField, "unknown-field", 400, "the body has a field that is not known"},
	{Oversized, "oversized", 413, "the body is larger than allowed"},
	{UnknownService, "unknown-service", 404, "no such service in the configuration in force"},
	{UnknownTenant, "unknown-tenant", 404, "no such tenant in the configuration in force"},
	{UnknownKind, "unknown-kind", 404, "the tenant has no template of this kind of request"},
	{BadBudget, "bad-budget", 400, "the budget asked for is negative or above the template's"},
	{KeyReused, "key-reused", 409, "a request with this key is running or has ended; its ending is told as far as known"},
	{KeyMissing, "key-missing", 400, "a request carries a key of 1 to 128 characters"},
	{WrongMethod, "wrong-method", 405, "the method does not fit the path"},
	{UnknownPrefix, "unknown-prefix", 404, "the catalogue has no such shared prefix"},
	{UnknownRoute, "unknown-route", 404, "no route in force takes this host and path; not run"},
	{NoEngine, "no-engine", 503, "no engine in force can take the request now; not run"},
	{RouterStale, "router-stale", 503, "this router cannot prove its configuration is in force; not run"},
	{QueueFull, "queue-full", 503, "the queue is full or its wait would pass the budget; not run"},
	{BudgetSpent, "budget-spent", 503, "the budget to start was spent before an engine took it; not run"},
	{RouterLeaving, "router-leaving", 503, "this router is stopping; not run"},
	{RepeatsSpent, "repeats-spent", 503, "a repeat was due, but the share of repeats is spent"},
	{KeysFull, "keys-full", 503, "too many keys are remembered to take a new one; not run"},
	{ClaimUnheard, "claim-unheard", 503, "no majority of cores could keep the key to this request; not run"},
	{EndingUnknown, "ending-unknown", 502, "the request may have run; do not take it as not run"},
	{StreamCut, "stream-cut", 502, "the answer broke off; the circuit is closed without a final frame"},
	{Abandoned, "abandoned", 504, "the answer was not whole within its budget; it ran in part"},
	{RunFailed, "run-failed", 502, "an engine ran the request and reported that it failed"},
	{ConfigurationInvalid, "configuration-invalid", 400, "the configuration was declined; place and reason follow"},
	{SequenceStale, "sequence-stale", 409, "another change came first; nothing was changed"},
	{UnknownHall, "unknown-hall", 404, "the configuration has no such hall; nothing was changed"},
	{OutcomeUnknown, "outcome-unknown", 504, "not known whether it took effect; ask by its operation key"},
	{NotOwner, "not-owner", 503, "this core does not own the part now; ask again"},
	{NoMajority, "no-majority", 503, "no majority of cores answered; nothing is claimed"},
	{UnknownOperation, "unknown-operation", 404, "no operation with this key has been committed"},
	{ConfigurationCostly, "configuration-costly", 413, "the document would take too long to evaluate; nothing was changed"},
	{UnknownRegion, "unknown-region", 404, "no hall is known to stand in this region; nothing was changed"},
	{LastRegion, "last-region", 409, "every other region is under notice; nothing was changed"},
	{NoticeBegun, "notice-begun", 409, "the region's notice has begun already; take it back first; nothing was changed"},
	{SettingBad, "setting-bad", 0, "a flag or setting is wrong; its name follows"},
	{AddressTaken, "address-taken", 0, "the address can't be listened on"},
	{StartFailed, "start-failed", 0, "the daemon could not start"},
	{JournalBroken, "journal-broken", 0, "the journal is damaged in its middle; see the runbook"},
	{JournalWrite, "journal-write", 0, "the journal could not be written or synced"},
	{ForeignFleet, "foreign-fleet", 403, "the message is of another fleet; dropped"},
	{Garbage, "garbage", 400, "the inner message can't be read; dropped"},
	{GrantSpent, "grant-spent", 0, "the grant would not outlast the order; nothing was sent"},
	{CircuitLost, "circuit-lost", 502, "the other side could not be reached or fell silent"},
	{RoundStale, "round-stale", 409, "a higher round has been promised"},
	{EngineBusy, "engine-busy", 429, "the engine's own answer: full, did not start"},
	{EngineLeaving, "engine-leaving", 429, "the engine's own answer: leaving, did not start"},
	{EngineVersion, "engine-version", 429, "the engine's own answer: other model version, did not start"},
	{TicketVoid, "ticket-void", 410, "the engine's own answer: no such prompt memory, did not start"},
	{EnginePart, "engine-part", 429, "the engine's own answer: plays the other part, did not start"},
	{EngineCold, "engine-cold", 429, "the engine's own answer: still warming, did not start"},
	{EngineStopping, "engine-stopping", 429, "the engine's own answer: stopping, did not start"},
	{Cancelled, "cancelled", 499, "the caller left or the router cancelled the run by name"},
}

var entries = func() map[Code]Entry {
	index := make(map[Code]Entry, len(Table))
	for _, entry := range Table {
		index[entry.Code] = entry
	}
	return index
}()

// String is the code's name.
func (c Code) String() string {
	if entry, known := entries[c]; known {
		return entry.Name
	}
	return "unnamed"
}

// Status is the HTTP status that goes with the code.
func (c Code) Status() int {
	if entry := entries[c]; entry.Status != 0 {
		return entry.Status
	}
	return 500
}

// Unstarted tells whether the code, as an engine's own answer, proves that the
// work did not start there.
func (c Code) Unstarted() bool {
	return c >= EngineBusy && c <= EngineStopping
}
