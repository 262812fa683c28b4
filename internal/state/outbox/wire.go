package outbox

import (
	"cmp"
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/wireform"
)

// The wire structs of this file are encoded with encoding/gob in log entries and snapshots. The names, order and
// types of their fields are part of these formats and must not change.

// EntryWire is the form of an Entry in log entries and snapshots.
type EntryWire struct {
	Kind      string
	Name      string
	Number    uint64
	Retention Retention
	Priority  Priority
	Payload   []byte
}

// ToWire returns the wire form of the entry.
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

// ToDomain returns the entry with this wire form.
func (e EntryWire) ToDomain() Entry {
	return Entry{
		Subject:   Subject{Kind: e.Kind, Name: e.Name},
		Number:    e.Number,
		Retention: e.Retention,
		Priority:  e.Priority,
		Payload:   e.Payload,
	}
}

// MarkWire is the form of a Mark in log entries.
type MarkWire struct {
	Kind   string
	Name   string
	Number uint64
}

// ToWire returns the wire form of the mark.
func (m Mark) ToWire() MarkWire { return MarkWire{Kind: m.Kind, Name: m.Name, Number: m.Number} }

// ToDomain returns the mark with this wire form.
func (m MarkWire) ToDomain() Mark {
	return Mark{Subject: Subject{Kind: m.Kind, Name: m.Name}, Number: m.Number}
}

// OperationWire is the form of an Operation in log entries.
type OperationWire struct {
	Drafts []EntryWire
	Done   []MarkWire
	Reset  bool
	Floors []MarkWire
}

// ToWire returns the wire form of the operation.
func (o Operation) ToWire() OperationWire {
	return OperationWire{
		Drafts: wireform.Slice(o.Drafts, Entry.ToWire),
		Done:   wireform.Slice(o.Done, Mark.ToWire),
		Reset:  o.Reset,
		Floors: wireform.Slice(o.Floors, Mark.ToWire),
	}
}

// ToDomain returns the operation with this wire form.
func (o OperationWire) ToDomain() Operation {
	return Operation{
		Drafts: wireform.Slice(o.Drafts, EntryWire.ToDomain),
		Done:   wireform.Slice(o.Done, MarkWire.ToDomain),
		Reset:  o.Reset,
		Floors: wireform.Slice(o.Floors, MarkWire.ToDomain),
	}
}

// ResultWire is the form in which replicas store a Result.
type ResultWire struct{ Codes []errcode.Code }

// ToWire returns the wire form of the result.
func (r Result) ToWire() ResultWire { return ResultWire(r) }

// ToDomain returns the result with this wire form.
func (r ResultWire) ToDomain() Result { return Result(r) }

// SubjectWire is the form of a Subject and its SubjectRecord in snapshots. Latest has at most one entry.
type SubjectWire struct {
	Kind       string
	Name       string
	Highest    uint64
	AcceptedAt uint64
	Latest     []EntryWire
}

// SnapshotWire is the form of a State in snapshots.
type SnapshotWire struct {
	Pending    []EntryWire
	Subjects   []SubjectWire
	Accepted   uint64
	Superseded uint64
	Dropped    uint64
}

// ToWire returns the wire form of the outbox, with its subjects sorted by kind and name. The outbox must not be
// incomplete, because the wire form has no field for that.
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

// ToDomain returns the outbox with this wire form.
func (s SnapshotWire) ToDomain() *State {
	state := NewState()
	state.Pending = wireform.Slice(s.Pending, EntryWire.ToDomain)
	state.Accepted, state.Superseded, state.Dropped = s.Accepted, s.Superseded, s.Dropped
	for _, subject := range s.Subjects {
		state.Subjects[Subject{Kind: subject.Kind, Name: subject.Name}] = subject.toRecord()
	}
	return state
}
