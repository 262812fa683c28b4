package configuration

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/route"
)

// Kind says what an operator asked for.
type Kind string

// The kinds of operations.
const (
	Whole    Kind = "apply"
	Small    Kind = "change"
	Evacuate Kind = "evacuate"
	Return   Kind = "return"
	Back     Kind = "turn-back"
	// Notice has a region drained on a schedule, NoticeEnd takes that back, and
	// NoticePhase notes how far it has come.
	Notice      Kind = "notice"
	NoticeEnd   Kind = "notice-end"
	NoticePhase Kind = "notice-phase"
)

// Request is what an operator sends. Expected is the sequence it builds on; the
// key lets the operator ask later what became of it.
type Request struct {
	Kind     Kind   `json:"kind"`
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
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
	Notice  notice.Notice `json:"notice,omitzero"`
	Regions []string      `json:"-"`
	// Routing builds on a label, not on a sequence.
	Routing *Routing `json:"routing,omitempty"`
}

// Commutes tells whether an operation means the same after any other change.
func (r Request) Commutes() bool {
	return r.notices() || r.Whichever && (r.Kind == Evacuate || r.Kind == Return)
}

// Outcome is what became of an operation.
type Outcome struct {
	Code     mishap.Code `json:"code"`
	Sequence uint64      `json:"sequence"`
	Text     string      `json:"text"`
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
	Notices []notice.Notice
	Plan    Plan
	// Label, Book, Items and Others are what is in force by routes: the operator's own
	// number, what the product reads, and what was sent, by list and beside the lists.
	Label  uint64
	Book   route.Book
	Items  map[string][]Item
	Others []Item
}

// Gone tells whether a hall is evacuated.
func (v *View) Gone(hall string) bool { return slices.Contains(v.Evacuated, hall) }

// Draft checks a request against what is in force now and expands it, before it
// is proposed.
func (v *View) Draft(request Request) (Operation, error) {
	operation := Operation{Request: request}
	if request.routed() {
		return operation, request.Routing.check()
	}
	if request.notices() {
		return operation, v.judge(request)
	}
	if !request.Commutes() && request.Expected != v.Sequence {
		return operation, stale(request.Expected, v.Sequence)
	}
	var err error
	switch request.Kind {
	case Whole:
		operation.Plan, err = Expand(request.Document, nil)
	case Small:
		merged := maps.Clone(v.Changes)
		if merged == nil {
			merged = map[string]string{}
		}
		maps.Copy(merged, request.Changes)
		operation.Changes = merged
		operation.Plan, err = Expand(v.Document, merged)
	case Back:
	case Evacuate, Return:
		if !v.knows(request.Hall) {
			err = mishap.New(mishap.UnknownHall, "hall %q", request.Hall)
		}
	default:
		err = mishap.New(mishap.Malformed, "operation kind %q", request.Kind)
	}
	return operation, err
}

func stale(expected, present uint64) error {
	return mishap.New(mishap.SequenceStale, "built on sequence %d, but %d is in force", expected, present)
}

// turns is how many documents back an operator can turn.
const turns = 3

// Document is a document with the changes made to it.
type Document struct {
	Document string
	Changes  map[string]string
	Plan     Plan
}

type memory struct {
	View
	// Format tells apart what builds have written.
	Format int
	// Before are the last documents that were in force, newest last.
	Before []Document
	// Accepted are the orders by routes that were put in force, by label. Keyed are
	// operations with a key that took effect, by sequence; Refused the last that did not.
	Accepted acceptedOrders
	Keyed    acceptedOrders
	Refused  []Refusal
	// HallChanges are the sequences at which halls were last evacuated or taken back.
	HallChanges map[string]uint64
}

// State is what the log of part 0 builds.
type State struct {
	memory
}

// NewState is the state before any configuration.
func NewState() *State { return &State{} }

// View is a copy of what is in force.
func (s *State) View() View { return s.memory.View }

// Expands tells whether a document has to be evaluated before the operation is proposed.
func (r Request) Expands() bool { return r.Kind == Whole || r.Kind == Small }

// Apply puts one operation in force, or declines it if another came first. An
// operation's key takes effect once; an order by routes is told from others by its label.
func (s *State) Apply(data []byte) []byte {
	var operation Operation
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&operation); err != nil {
		return Encode(Outcome{Code: mishap.Garbage, Sequence: s.Sequence, Text: err.Error()})
	}
	outcome, known := s.Outcome(operation.Key)
	if !known {
		outcome = s.enact(operation)
		s.remember(operation.Key, outcome)
	}
	return Encode(outcome)
}

func (s *State) enact(operation Operation) Outcome {
	if operation.routed() {
		return s.enactRouting(operation)
	}
	if operation.notices() {
		return s.enactNotice(operation)
	}
	if operation.Commutes() && !s.knows(operation.Hall) {
		return Outcome{Code: mishap.UnknownHall, Sequence: s.Sequence, Text: operation.Hall}
	}
	if !operation.Commutes() && operation.Expected != s.Sequence {
		err := stale(operation.Expected, s.Sequence)
		return Outcome{Code: mishap.SequenceStale, Sequence: s.Sequence, Text: mishap.Text(err)}
	}
	if s.overtaken(operation) {
		return s.declineOvertaken(operation)
	}
	if operation.Kind == Back && len(s.Before) == 0 {
		return Outcome{Code: mishap.UnknownOperation, Sequence: s.Sequence, Text: "no earlier document is known"}
	}
	s.Sequence++
	switch operation.Kind {
	case Back:
		last := s.Before[len(s.Before)-1]
		s.Before = slices.Clone(s.Before[:len(s.Before)-1])
		s.Document, s.Changes, s.Plan = last.Document, last.Changes, last.Plan
	case Whole:
		s.keep()
		s.Document, s.Changes, s.Plan = operation.Document, nil, operation.Plan
		s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(hall string) bool { return !s.Plan.HasHall(hall) })
	case Small:
		s.keep()
		s.Changes, s.Plan = operation.Changes, operation.Plan
	case Evacuate:
		if !s.Gone(operation.Hall) {
			s.Evacuated = append(slices.Clone(s.Evacuated), operation.Hall)
			s.noteHallChange(operation.Hall)
		}
	case Return:
		if s.Gone(operation.Hall) {
			s.noteHallChange(operation.Hall)
		}
		s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(hall string) bool { return hall == operation.Hall })
	}
	return Outcome{Sequence: s.Sequence}
}

// keep remembers what is in force before it is replaced, so that it can be turned
// back to; the first document has nothing before it.
func (s *State) keep() {
	if s.Document == "" {
		return
	}
	s.Before = append(slices.Clone(s.Before), Document{s.Document, s.Changes, s.Plan})
	if len(s.Before) > turns {
		s.Before = slices.Clone(s.Before[1:])
	}
}

// Number is the state's own sequence.
func (s *State) Number() uint64 { return s.Sequence }

// Snapshot is the whole state.
func (s *State) Snapshot() []byte {
	s.Format = snapshotFormat
	return Encode(s.memory)
}

// Restore takes the whole state, also one that an earlier build wrote.
func (s *State) Restore(snapshot []byte) {
	var fresh memory
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&fresh) != nil {
		return
	}
	s.memory = fresh
	if fresh.Format == 0 {
		s.readEarlier(snapshot)
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
