package outbox

// Retention says which entries of a subject are delivered. It is the same for all entries of a kind.
type Retention uint8

// The retentions. The values are part of the log format.
const (
	// RetainEach has every accepted entry of a subject delivered, in the order of their numbers.
	RetainEach Retention = 1
	// RetainLatest has the newest entry of a subject supersede the earlier ones that are not done.
	RetainLatest Retention = 2
)

// Priority orders the entries of different subjects; lower values are sent first.
type Priority uint8

// The priorities. The values are part of the log format.
const (
	// PriorityReport is for reports that are due at a certain time.
	PriorityReport Priority = 0
	// PriorityIncrease is for orders that add capacity, PriorityDecrease for those that remove some.
	PriorityIncrease Priority = 1
	PriorityDecrease Priority = 2
)

// Subject is what a call is about. At most one call of a subject is in flight at a time.
type Subject struct {
	// Kind names the calls of one task.
	Kind string
	// Name tells the subjects of a kind apart.
	Name string
}

// Entry is one call that is to be made.
type Entry struct {
	Subject
	// Number orders the entries of the subject. Each number of a subject is accepted once at most, and none
	// that is lower than an accepted one.
	Number    uint64
	Retention Retention
	Priority  Priority
	// Payload is the body of the call, encoded before the entry is committed, so that every leader sends the
	// same bytes.
	Payload []byte
}

// Mark names an entry of a subject by its number.
type Mark struct {
	Subject
	Number uint64
}

// Mark returns the mark that names the entry.
func (e Entry) Mark() Mark { return Mark{Subject: e.Subject, Number: e.Number} }
