package outbox

// Retention determines which entries of a subject are delivered. All entries of a kind have the same
// retention.
type Retention uint8

// The retentions. The values are part of the log format.
const (
	// RetainEach means that every accepted entry of a subject is delivered, in the order of the numbers.
	RetainEach Retention = 1
	// RetainLatest means that the newest entry of a subject replaces the earlier entries that are not done.
	RetainLatest Retention = 2
)

// Priority orders the entries of different subjects; lower values are sent first.
type Priority uint8

// The priorities. The values are part of the log format.
const (
	// PriorityReport is the priority of reports that are due at a certain time.
	PriorityReport Priority = 0
	// PriorityIncrease is the priority of orders that add capacity.
	PriorityIncrease Priority = 1
	// PriorityDecrease is the priority of orders that remove capacity.
	PriorityDecrease Priority = 2
)

// Subject identifies a sequence of calls. At most one call of a subject is in flight at a time.
type Subject struct {
	// Kind identifies the task that makes the calls.
	Kind string
	// Name distinguishes the subjects of a kind.
	Name string
}

// Entry is one call to be made.
type Entry struct {
	Subject
	// Number orders the entries of the subject. The outbox accepts an entry only if its number is higher than
	// every number that it has accepted for the subject before.
	Number    uint64
	Retention Retention
	Priority  Priority
	// Payload is the body of the call. It is encoded before the entry is committed, so that every leader sends
	// the same bytes.
	Payload []byte
}

// Mark refers to an entry of a subject by its number.
type Mark struct {
	Subject
	Number uint64
}

// Mark returns the mark that refers to the entry.
func (e Entry) Mark() Mark { return Mark{Subject: e.Subject, Number: e.Number} }
