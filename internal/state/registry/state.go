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

// Engine is a registered engine. Incarnation identifies one run of its process.
type Engine struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Zone        string `json:"hall"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Draining means that the incarnation is draining and gets no new work. The flag of an
	// incarnation is never reset.
	Draining bool `json:"leaving"`
	// Role is the current role, Slots the capacity, Weights the model version, and WarmingUp means
	// that the engine is warming up. These four fields are set only by a synchronized endpoint
	// list, where the name of an engine is also its incarnation.
	Role      string `json:"-"`
	Slots     int    `json:"-"`
	Weights   int    `json:"-"`
	WarmingUp bool   `json:"-"`
}

// OperationKind is the kind of an operation on the registry.
type OperationKind string

// The kinds of operations. The values are part of the log format.
const (
	// OperationRegister adds an incarnation of an engine.
	OperationRegister OperationKind = "enrol"
	// OperationDrain marks an engine as draining.
	OperationDrain OperationKind = "leave"
	// OperationAssign replaces the assignment of a service.
	OperationAssign OperationKind = "sign"
	// OperationSyncEndpoints applies a change of an endpoint list whose source is outside the registry.
	OperationSyncEndpoints OperationKind = "mirror"
)

// Operation is one entry in the log of a service shard. Engine is set for OperationRegister and
// OperationDrain, Assignment for OperationAssign, and Put and Drop for OperationSyncEndpoints.
type Operation struct {
	Kind       OperationKind
	Engine     Engine
	Assignment pairing.Assignment
	Put        []Engine
	Drop       []string
}

// View is the state of a service shard. Its maps and slices are replaced, never modified in
// place, so that copies of a view don't change.
type View struct {
	// Revision is incremented by each operation that takes effect.
	Revision uint64
	// Engines are the registered engines by name, Assignments the current assignments by service.
	Engines     map[string]Engine
	Assignments map[string]pairing.Assignment
	// Replaced holds the previous incarnation of each engine. A registration of this incarnation
	// may arrive late and is rejected.
	Replaced map[string]string
	// Drained are the incarnations of a synchronized endpoint list that were removed while
	// draining, oldest first.
	Drained []string
}

// Routers returns the routers that share the capacity of the engines. If the assignments name
// different routers, it returns those of the assignment with the most routers.
func (v View) Routers() []string {
	var routers []string
	for _, assignment := range v.Assignments {
		if len(assignment.Routers) > len(routers) {
			routers = assignment.Routers
		}
	}
	return routers
}

// State is the replicated state machine of a service shard. It is not safe for concurrent use.
type State struct {
	View
	// Outbox holds the shard's calls to the platform, which one daemon at a time makes. Operations
	// on the outbox don't change the revision, since routers don't use the outbox.
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

// Result is the result of an operation. Code is errcode.OK if the operation took effect, and
// Revision is the revision after the operation.
type Result struct {
	Code     errcode.Code
	Revision uint64
}

// Apply applies one committed operation and returns its encoded Result. For an operation on the
// outbox it returns an encoded outbox.Result.
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

// applyEncoded applies an encoded operation. The state is unchanged if the code is not OK.
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

// applyToOutbox applies an encoded operation on the outbox and returns its encoded result. The
// result of an operation that can't be decoded has no codes.
func (s *State) applyToOutbox(data []byte) []byte {
	var result outbox.Result
	if operation, err := outbox.DecodeOperation(data); err == nil {
		result = s.Outbox.Apply(operation)
	}
	return result.Encode()
}

// applyOperation applies an operation. The state is unchanged if the code is not OK.
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

// register adds an engine or replaces its previous incarnation. An incarnation that registers
// again because it missed the answer keeps its draining flag. The registration of an incarnation
// that has been replaced is rejected as stale.
func (s *State) register(engine Engine) errcode.Code {
	registered := s.Engines[engine.Name]
	switch {
	case registered.Incarnation == engine.Incarnation:
		engine.Draining = registered.Draining
	case registered.Name != "" && s.Replaced[engine.Name] == engine.Incarnation:
		return errcode.RevisionStale
	case registered.Name != "":
		s.Replaced = maps.Clone(s.Replaced)
		s.Replaced[engine.Name] = registered.Incarnation
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

// assign replaces the assignment of a service, unless the new one belongs to an earlier term.
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

// DecodeResult decodes the result of an operation. The error has the code MalformedMessage.
func DecodeResult(data []byte) (Result, error) {
	var result ResultWire
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&result)
	return result.ToDomain(), errcode.Wrap(err, errcode.MalformedMessage, "result")
}
