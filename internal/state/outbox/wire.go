package outbox

import (
	"cmp"
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/wireform"
)

// The wire structs of this file are encoded by encoding/gob in log entries and snapshots. Names, order and
// types of their fields are part of these formats and must not change.

// EntryWire is an Entry in log entries and snapshots.
type EntryWire struct {
	Kind      string
	Name      string
	Number    uint64
	Retention Retention
	Priority  Priority
	Payload   []byte
}

// ToWire returns the entry as it is encoded.
func (e Entry) ToWire() EntryWire {
	return EntryWire{
		Kind:      e.Kind,
		Name:      e.Name,
		Number:    e.Number,
		Retention: e.Retention,
		Priority:  e.Priority,
		Payload:   e.Payload,
	}
}

// ToDomain returns the entry that was encoded.
func (e EntryWire) ToDomain() Entry {
	return Entry{
		Subject:   Subject{Kind: e.Kind, Name: e.Name},
		Number:    e.Number,
		Retention: e.Retention,
		Priority:  e.Priority,
		Payload:   e.Payload,
	}
}

// MarkWire is a Mark in log entries.
type MarkWire struct {
	Kind   string
	Name   string
	Number uint64
}

// ToWire returns the mark as it is encoded.
func (m Mark) ToWire() MarkWire { return MarkWire{Kind: m.Kind, Name: m.Name, Number: m.Number} }

// ToDomain returns the mark that was encoded.
func (m MarkWire) ToDomain() Mark {
	return Mark{Subject: Subject{Kind: m.Kind, Name: m.Name}, Number: m.Number}
}

// OperationWire is an Operation in log entries.
type OperationWire struct {
	Drafts []EntryWire
	Done   []MarkWire
	Reset  bool
	Floors []MarkWire
}

// ToWire returns the operation as it is encoded.
func (o Operation) ToWire() OperationWire {
	return OperationWire{
		Drafts: wireform.Slice(o.Drafts, Entry.ToWire),
		Done:   wireform.Slice(o.Done, Mark.ToWire),
		Reset:  o.Reset,
		Floors: wireform.Slice(o.Floors, Mark.ToWire),
	}
}

// ToDomain returns the operation that was encoded.
func (o OperationWire) ToDomain() Operation {
	return Operation{
		Drafts: wireform.Slice(o.Drafts, EntryWire.ToDomain),
		Done:   wireform.Slice(o.Done, MarkWire.ToDomain),
		Reset:  o.Reset,
		Floors: wireform.Slice(o.Floors, MarkWire.ToDomain),
	}
}

// ResultWire is a Result as replicas keep it.
type ResultWire struct{ Codes []errcode.Code }

// ToWire returns the result as it is encoded.
func (r Result) ToWire() ResultWire { return ResultWire(r) }

// ToDomain returns the result that was encoded.
func (r ResultWire) ToDomain() Result { return Result(r) }

// SubjectWire is a subject with its record in snapshots. Latest has one entry at most.
type SubjectWire struct {
	Kind       string
	Name       string
	Highest    uint64
	AcceptedAt uint64
	Latest     []EntryWire
}

// SnapshotWire is a complete outbox in snapshots.
type SnapshotWire struct {
	Pending    []EntryWire
	Subjects   []SubjectWire
	Accepted   uint64
	Superseded uint64
	Dropped    uint64
}

// ToWire returns the outbox as it is encoded, its subjects sorted. It must not be incomplete.
func (s *State) ToWire() SnapshotWire {
	snapshot := SnapshotWire{
		Pending:    wireform.Slice(s.Pending, Entry.ToWire),
		Accepted:   s.Accepted,
		Superseded: s.Superseded,
		Dropped:    s.Dropped,
	}
	for _, subject := range slices.SortedFunc(maps.Keys(s.Subjects), compareSubjects) {
		snapshot.Subjects = append(snapshot.Subjects, s.Subjects[subject].toWire(subject))
	}
	return snapshot
}

func compareSubjects(left, right Subject) int {
	return cmp.Or(cmp.Compare(left.Kind, right.Kind), cmp.Compare(left.Name, right.Name))
}

func (r SubjectRecord) toWire(subject Subject) SubjectWire {
	wire := SubjectWire{Kind: subject.Kind, Name: subject.Name, Highest: r.Highest, AcceptedAt: r.AcceptedAt}
	if r.Latest != nil {
		wire.Latest = []EntryWire{r.Latest.ToWire()}
	}
	return wire
}

func (s SubjectWire) toRecord() SubjectRecord {
	record := SubjectRecord{Highest: s.Highest, AcceptedAt: s.AcceptedAt}
	if len(s.Latest) > 0 {
		latest := s.Latest[0].ToDomain()
		record.Latest = &latest
	}
	return record
}

// ToDomain returns the outbox that was encoded.
func (s SnapshotWire) ToDomain() *State {
	state := NewState()
	state.Pending = wireform.Slice(s.Pending, EntryWire.ToDomain)
	state.Accepted, state.Superseded, state.Dropped = s.Accepted, s.Superseded, s.Dropped
	for _, subject := range s.Subjects {
		state.Subjects[Subject{Kind: subject.Kind, Name: subject.Name}] = subject.toRecord()
	}
	return state
}
