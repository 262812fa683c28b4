package config

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
)

// OperationKind says what an operator asked for.
type OperationKind string

// The kinds of operations.
const (
	OperationApply    OperationKind = "apply"
	OperationPatch    OperationKind = "change"
	OperationEvacuate OperationKind = "evacuate"
	OperationReturn   OperationKind = "return"
	OperationRollback OperationKind = "turn-back"
	// OperationStartMaintenance has a region drained on a schedule, NoticeEnd takes that back, and
	// NoticePhase notes how far it has come.
	OperationStartMaintenance   OperationKind = "notice"
	OperationCancelMaintenance  OperationKind = "notice-end"
	OperationAdvanceMaintenance OperationKind = "notice-phase"
)

// Request is what an operator sends. Expected is the sequence it builds on; the
// key lets the operator ask later what became of it.
type Request struct {
	Kind     OperationKind `json:"kind"`
	Key      string        `json:"key"`
	Expected uint64        `json:"expected"`
	// Whichever has an evacuation or a return apply to what is in force when it is
	// committed, so that no other change can beat it.
	Whichever bool `json:"whichever,omitempty"`
	// Observed, if set, has an evacuation or a return leave its hall as it is if that
	// changed since.
	Observed *Observation      `json:"-"`
	Document string            `json:"document,omitempty"`
	Changes  map[string]string `json:"changes,omitempty"`
	Hall     string            `json:"hall,omitempty"`
	// Notice is what a notice says; Regions are all there are, as the core knows that
	// takes the request.
	Notice  maintenance.Window `json:"notice,omitzero"`
	Regions []string           `json:"-"`
	// Routing builds on a label, not on a sequence.
	Routing *Routing `json:"routing,omitempty"`
}

// Commutes tells whether an operation means the same after any other change.
func (r Request) Commutes() bool {
	return r.isMaintenance() || r.Whichever && (r.Kind == OperationEvacuate || r.Kind == OperationReturn)
}

// Outcome is what became of an operation.
type Outcome struct {
	Code     errcode.Code `json:"code"`
	Sequence uint64       `json:"sequence"`
	Text     string       `json:"text"`
}

// Operation is a checked request as it stands in the log.
type Operation struct {
	Request
	Plan Plan
}

// View is all that is in force.
type View struct {
	Sequence  uint64
	Document  string
	Changes   map[string]string
	Evacuated []string
	// Notices are those of regions that are drained.
	Notices []maintenance.Window
	Plan    Plan
	// Label, Book, Items and Others are what is in force by routes: the operator's own
	// number, what the product reads, and what was sent, by list and beside the lists.
	Label  uint64
	Book   route.Table
	Items  map[string][]Item
	Others []Item
}

// IsEvacuated tells whether a hall is evacuated.
func (v *View) IsEvacuated(zone string) bool { return slices.Contains(v.Evacuated, zone) }

// Draft checks a request against what is in force now and expands it, before it
// is proposed.
func (v *View) Draft(request Request) (Operation, error) {
	operation := Operation{Request: request}
	if request.isRouting() {
		return operation, request.Routing.validateLabels()
	}
	if request.isMaintenance() {
		return operation, v.validateMaintenance(request)
	}
	if !request.Commutes() && request.Expected != v.Sequence {
		return operation, newStaleError(request.Expected, v.Sequence)
	}
	var err error
	switch request.Kind {
	case OperationApply:
		operation.Plan, err = Expand(request.Document, nil)
	case OperationPatch:
		merged := maps.Clone(v.Changes)
		if merged == nil {
			merged = map[string]string{}
		}
		maps.Copy(merged, request.Changes)
		operation.Changes = merged
		operation.Plan, err = Expand(v.Document, merged)
	case OperationRollback:
	case OperationEvacuate, OperationReturn:
		if !v.canEvacuate(request.Hall) {
			err = errcode.New(errcode.UnknownZone, "hall %q", request.Hall)
		}
	default:
		err = errcode.New(errcode.Malformed, "operation kind %q", request.Kind)
	}
	return operation, err
}

func newStaleError(expected, current uint64) error {
	return errcode.New(errcode.RevisionStale, "built on sequence %d, but %d is in force", expected, current)
}

// maxRollbacks is how many documents back an operator can turn.
const maxRollbacks = 3

// Document is a document with the changes made to it.
type Document struct {
	Document string
	Changes  map[string]string
	Plan     Plan
}

type persistentState struct {
	View
	// Format tells apart what builds have written.
	Format int
	// Before are the last documents that were in force, newest last.
	Before []Document
	// Accepted are the orders by routes that were put in force, by label. Keyed are
	// operations with a key that took effect, by sequence; Refused the last that did not.
	Accepted acceptedOperations
	Keyed    acceptedOperations
	Refused  []Rejection
	// HallChanges are the sequences at which halls were last evacuated or taken back.
	HallChanges map[string]uint64
}

// State is what the log of part 0 builds.
type State struct {
	persistentState
}

// NewState is the state before any configuration.
func NewState() *State { return &State{} }

// View is a copy of what is in force.
func (s *State) View() View { return s.persistentState.View }

// NeedsExpansion tells whether a document has to be evaluated before the operation is proposed.
func (r Request) NeedsExpansion() bool { return r.Kind == OperationApply || r.Kind == OperationPatch }

// Apply puts one operation in force, or declines it if another came first. An
// operation's key takes effect once; an order by routes is told from others by its label.
func (s *State) Apply(data []byte) []byte {
	var operation Operation
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&operation); err != nil {
		return Encode(Outcome{Code: errcode.MalformedMessage, Sequence: s.Sequence, Text: err.Error()})
	}
	outcome, known := s.Outcome(operation.Key)
	if !known {
		outcome = s.applyOperation(operation)
		s.recordOutcome(operation.Key, outcome)
	}
	return Encode(outcome)
}

func (s *State) applyOperation(operation Operation) Outcome {
	if operation.isRouting() {
		return s.applyRouting(operation)
	}
	if operation.isMaintenance() {
		return s.applyMaintenance(operation)
	}
	if operation.Commutes() && !s.canEvacuate(operation.Hall) {
		return Outcome{Code: errcode.UnknownZone, Sequence: s.Sequence, Text: operation.Hall}
	}
	if !operation.Commutes() && operation.Expected != s.Sequence {
		err := newStaleError(operation.Expected, s.Sequence)
		return Outcome{Code: errcode.RevisionStale, Sequence: s.Sequence, Text: errcode.Text(err)}
	}
	if s.isSuperseded(operation) {
		return s.rejectSuperseded(operation)
	}
	if operation.Kind == OperationRollback && len(s.Before) == 0 {
		return Outcome{Code: errcode.UnknownOperation, Sequence: s.Sequence, Text: "no earlier document is known"}
	}
	s.Sequence++
	switch operation.Kind {
	case OperationRollback:
		last := s.Before[len(s.Before)-1]
		s.Before = slices.Clone(s.Before[:len(s.Before)-1])
		s.Document, s.Changes, s.Plan = last.Document, last.Changes, last.Plan
	case OperationApply:
		s.pushRollbackDocument()
		s.Document, s.Changes, s.Plan = operation.Document, nil, operation.Plan
		s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(zone string) bool { return !s.Plan.HasZone(zone) })
	case OperationPatch:
		s.pushRollbackDocument()
		s.Changes, s.Plan = operation.Changes, operation.Plan
	case OperationEvacuate:
		if !s.IsEvacuated(operation.Hall) {
			s.Evacuated = append(slices.Clone(s.Evacuated), operation.Hall)
			s.recordZoneChange(operation.Hall)
		}
	case OperationReturn:
		if s.IsEvacuated(operation.Hall) {
			s.recordZoneChange(operation.Hall)
		}
		s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(zone string) bool { return zone == operation.Hall })
	}
	return Outcome{Sequence: s.Sequence}
}

// pushRollbackDocument remembers what is in force before it is replaced, so that it can be turned
// back to; the first document has nothing before it.
func (s *State) pushRollbackDocument() {
	if s.Document == "" {
		return
	}
	s.Before = append(slices.Clone(s.Before), Document{s.Document, s.Changes, s.Plan})
	if len(s.Before) > maxRollbacks {
		s.Before = slices.Clone(s.Before[1:])
	}
}

// Revision is the state's own sequence.
func (s *State) Revision() uint64 { return s.Sequence }

// Snapshot is the whole state.
func (s *State) Snapshot() []byte {
	s.Format = snapshotFormat
	return Encode(s.persistentState)
}

// Restore takes the whole state, also one that an earlier build wrote.
func (s *State) Restore(snapshot []byte) {
	var decoded persistentState
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&decoded) != nil {
		return
	}
	s.persistentState = decoded
	if decoded.Format == 0 {
		s.restoreLegacy(snapshot)
	}
}

// Encode writes a value with gob.
func Encode(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}
