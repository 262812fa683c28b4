package registry

import "coursepass/internal/clock"

// Report is the status report of an engine. Role is the role in which the engine runs, Term the
// term of the leader that the engine follows, and CommandNumber the number of the last command
// that the engine accepted.
type Report struct {
	Name              string             `json:"name"`
	Service           string             `json:"service"`
	Zone              string             `json:"hall"`
	Address           string             `json:"address"`
	Incarnation       string             `json:"incarnation"`
	Version           string             `json:"version"`
	Role              string             `json:"part"`
	Running           int                `json:"running"`
	Waiting           int                `json:"waiting"`
	Capacity          int                `json:"capacity"`
	Prefixes          []string           `json:"prefixes"`
	PrefillBusy       clock.Microseconds `json:"prefillBusyMicroseconds"`
	DecodeBusy        clock.Microseconds `json:"decodeBusyMicroseconds"`
	Age               clock.Microseconds `json:"ageMicroseconds"`
	Completed         int64              `json:"completed"`
	Tickets           int                `json:"tickets"`
	Draining          bool               `json:"draining"`
	Drained           bool               `json:"drained"`
	Term              uint64             `json:"round"`
	CommandNumber     uint64             `json:"orderSequence"`
	CommandViolations int64              `json:"orderViolations"`
}
