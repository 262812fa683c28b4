package registry

import (
	"bytes"
	"encoding/gob"
	"maps"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/pairing"
)

// Engine is a registered engine. An incarnation is one run of its process.
type Engine struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Zone        string `json:"hall"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Draining means that the incarnation is draining and gets no new work. It never becomes
	// false again.
	Draining bool `json:"leaving"`
	// Role is the present one, Slots the capacity, Weights the model version, and WarmingUp means that the
	// engine is warming up. Only a synchronized endpoint list has these four; there the name
	// is the incarnation, too.
	Role      string `json:"-"`
	Slots     int    `json:"-"`
	Weights   int    `json:"-"`
	WarmingUp bool   `json:"-"`
}

// OperationKind is the type of an operation on the registry.
type OperationKind string

// The kinds of operations. The values are part of the log format.
const (
	// OperationRegister adds an incarnation of an engine.
	OperationRegister OperationKind = "enrol"
	// OperationDrain marks an engine as draining.
	OperationDrain OperationKind = "leave"
	// OperationAssign replaces the assignment of a service.
	OperationAssign OperationKind = "sign"
	// OperationSyncEndpoints applies a change of an endpoint list that is kept elsewhere.
	OperationSyncEndpoints OperationKind = "mirror"
)

// Operation is one entry of a service shard's log. Engine is set for a registration or a drain,
// Assignment for an assignment, Put and Drop for a synchronization.
type Operation struct {
	Kind       OperationKind
	Engine     Engine
	Assignment pairing.Assignment
	Put        []Engine
	Drop       []string
}

// View is the state of a service shard. Its maps and slices are replaced, never changed in
// place, so that a copy stays as it was.
type View struct {
	// Revision rises by one with each operation that takes effect.
	Revision uint64
	// Engines are the registered engines by name, Assignments are by service.
	Engines     map[string]Engine
	Assignments map[string]pairing.Assignment
	// Replaced is the incarnation before the registered one, by engine; its registration may
	// arrive late.
	Replaced map[string]string
	// Drained are the synchronized incarnations that were removed while draining, latest last.
	Drained []string
}

// Routers returns the routers that the assignments share the engines' capacity among.
func (v View) Routers() []string {
	var routers []string
	for _, assignment := range v.Assignments {
		if len(assignment.Routers) > len(routers) {
			routers = assignment.Routers
		}
	}
	return routers
}

// State is the state machine that the log of a service shard drives. It is not safe for
// concurrent use.
type State struct {
	View
	// Outbox are the shard's calls to the platform that one daemon makes at a time. Its operations
	// don't change the revision, since routers have no use for it.
	Outbox *outbox.State
}

// NewState returns an empty registry.
func NewState() *State {
	return &State{
		View: View{
			Engines:     map[string]Engine{},
			Assignments: map[string]pairing.Assignment{},
			Replaced:    map[string]string{},
		},
		Outbox: outbox.NewState(),
	}
}

// Result is the result of an operation. Code is errcode.OK if it took effect; Revision is the
// revision after it.
type Result struct {
	Code     errcode.Code
	Revision uint64
}

// Apply applies one committed operation and returns the encoded Result, that of the outbox for one of
// its operations.
func (s *State) Apply(data []byte) []byte {
	if outbox.IsOperation(data) {
		return s.applyToOutbox(data)
	}
	code := s.applyEncoded(data)
	if code == errcode.OK {
		s.Revision++
	}
	return gobcodec.Encode(Result{Code: code, Revision: s.Revision}.ToWire())
}

// applyEncoded changes the state by an encoded operation, unless it returns another code than OK.
func (s *State) applyEncoded(data []byte) errcode.Code {
	if isAssignmentChange(data) {
		return s.changeAssignment(data)
	}
	var operation OperationWire
	if gob.NewDecoder(bytes.NewReader(data)).Decode(&operation) != nil {
		return errcode.MalformedMessage
	}
	return s.applyOperation(operation.ToDomain())
}

// applyToOutbox applies an operation on the outbox. One that can't be decoded has a result without codes.
func (s *State) applyToOutbox(data []byte) []byte {
	var result outbox.Result
	if operation, err := outbox.DecodeOperation(data); err == nil {
		result = s.Outbox.Apply(operation)
	}
	return result.Encode()
}

// applyOperation changes the state, unless it returns another code than OK.
func (s *State) applyOperation(operation Operation) errcode.Code {
	switch operation.Kind {
	case OperationRegister:
		return s.register(operation.Engine)
	case OperationDrain:
		return s.drain(operation.Engine.Name)
	case OperationSyncEndpoints:
		s.syncEndpoints(operation.Put, operation.Drop)
	case OperationAssign:
		return s.assign(operation.Assignment)
	}
	return errcode.OK
}

// register adds an engine. An incarnation that registers once more, since it missed the
// answer, keeps its draining flag; one that has been replaced is stale.
func (s *State) register(engine Engine) errcode.Code {
	known := s.Engines[engine.Name]
	switch {
	case known.Incarnation == engine.Incarnation:
		engine.Draining = known.Draining
	case known.Name != "" && s.Replaced[engine.Name] == engine.Incarnation:
		return errcode.RevisionStale
	case known.Name != "":
		s.Replaced = maps.Clone(s.Replaced)
		s.Replaced[engine.Name] = known.Incarnation
	}
	s.setEngine(engine)
	return errcode.OK
}

func (s *State) drain(name string) errcode.Code {
	engine, known := s.Engines[name]
	if !known {
		return errcode.NoEngine
	}
	engine.Draining = true
	s.setEngine(engine)
	return errcode.OK
}

func (s *State) setEngine(engine Engine) {
	s.Engines = maps.Clone(s.Engines)
	s.Engines[engine.Name] = engine
}

// assign replaces the assignment of a service, unless it is of an earlier term.
func (s *State) assign(assignment pairing.Assignment) errcode.Code {
	if assignment.Term < s.Assignments[assignment.Service].Term {
		return errcode.TermStale
	}
	s.Assignments = maps.Clone(s.Assignments)
	s.Assignments[assignment.Service] = assignment
	return errcode.OK
}

// CurrentRevision returns the revision of the state.
func (s *State) CurrentRevision() uint64 { return s.Revision }

// Encode encodes the operation as a log entry.
func (o Operation) Encode() []byte { return gobcodec.Encode(o.ToWire()) }

// DecodeResult decodes the result of an operation. Its error has the code MalformedMessage.
func DecodeResult(data []byte) (Result, error) {
	var result ResultWire
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&result)
	return result.ToDomain(), errcode.Wrap(err, errcode.MalformedMessage, "result")
}
