// Package registry owns what is known of engines: the durable list with its
// leaving marks, and the soft state that engines tell again at any time.
package registry

import (
	"bytes"
	"encoding/gob"
	"maps"

	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
)

// Engine is one enrolled engine. An incarnation is one life of its process.
type Engine struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Hall        string `json:"hall"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// Only a mirrored list tells the rest; there the name is the life, too.
	Part    string `json:"-"`
	Slots   int    `json:"-"`
	Weights int    `json:"-"`
	Cold    bool   `json:"-"`
}

// OperationKind says what an operation does.
type OperationKind string

// The kinds of operations on the engine list.
const (
	OperationRegister OperationKind = "enrol"
	OperationDrain    OperationKind = "leave"
	OperationAssign   OperationKind = "sign"
	// OperationSyncEndpoints takes over a change of a list that others keep.
	OperationSyncEndpoints OperationKind = "mirror"
)

// Operation is one entry of a service part's log.
type Operation struct {
	Kind     OperationKind
	Engine   Engine
	Contract pairing.Assignment
	Put      []Engine
	Drop     []string
}

// View is all that a service part keeps.
type View struct {
	Sequence  uint64
	Engines   map[string]Engine
	Contracts map[string]pairing.Assignment
	// Replaced is the life before the one that is listed: its enrolment may come late.
	Replaced map[string]string
	// Left are the mirrored lives that were dropped while leaving, the latest last.
	Left []string
}

// State is what the log of a service part builds.
type State struct{ View }

// NewState is an empty list.
func NewState() *State {
	return &State{View{Engines: map[string]Engine{}, Contracts: map[string]pairing.Assignment{}, Replaced: map[string]string{}}}
}

// Result is an operation's result.
type Result struct {
	Code     errcode.Code
	Sequence uint64
}

// Apply takes one committed operation. Maps are replaced, never changed, so that
// copies of the view stay as they are.
func (s *State) Apply(data []byte) []byte {
	var operation Operation
	if gob.NewDecoder(bytes.NewReader(data)).Decode(&operation) != nil {
		return encode(Result{Code: errcode.MalformedMessage, Sequence: s.Sequence})
	}
	result := Result{}
	switch operation.Kind {
	case OperationRegister:
		// A life that enrols once more, since it heard no answer, is still leaving.
		registered := operation.Engine
		known := s.Engines[registered.Name]
		switch {
		case known.Incarnation == registered.Incarnation:
			registered.Leaving = known.Leaving
		case known.Name != "" && s.Replaced[registered.Name] == registered.Incarnation:
			return encode(Result{Code: errcode.RevisionStale, Sequence: s.Sequence})
		case known.Name != "":
			s.Replaced = maps.Clone(s.Replaced)
			s.Replaced[registered.Name] = known.Incarnation
		}
		s.Engines = maps.Clone(s.Engines)
		s.Engines[registered.Name] = registered
	case OperationDrain:
		engine, known := s.Engines[operation.Engine.Name]
		if !known {
			return encode(Result{Code: errcode.NoEngine, Sequence: s.Sequence})
		}
		engine.Leaving = true
		s.Engines = maps.Clone(s.Engines)
		s.Engines[engine.Name] = engine
	case OperationSyncEndpoints:
		s.syncEndpoints(operation.Put, operation.Drop)
	case OperationAssign:
		if operation.Contract.Round < s.Contracts[operation.Contract.Service].Round {
			return encode(Result{Code: errcode.TermStale, Sequence: s.Sequence})
		}
		s.Contracts = maps.Clone(s.Contracts)
		s.Contracts[operation.Contract.Service] = operation.Contract
	}
	s.Sequence++
	result.Sequence = s.Sequence
	return encode(result)
}

// Revision is the state's own sequence.
func (s *State) Revision() uint64 { return s.Sequence }

// Snapshot is the whole state.
func (s *State) Snapshot() []byte { return encode(s.View) }

// Restore takes the whole state.
func (s *State) Restore(snapshot []byte) {
	if view, read := DecodeView(snapshot); read {
		s.View = view
	}
}

// DecodeView decodes a snapshot.
func DecodeView(snapshot []byte) (View, bool) {
	view := NewState().View
	err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&view)
	return view, err == nil
}

// Encode writes an operation for the log.
func (o Operation) Encode() []byte { return encode(o) }

// DecodeResult decodes an operation's result.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&result)
	return result, errcode.Wrap(err, errcode.MalformedMessage, "result")
}

func encode(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Routers are those that the contracts share the engines' room among.
func (v View) Routers() []string {
	var all []string
	for _, assignment := range v.Contracts {
		if len(assignment.Routers) > len(all) {
			all = assignment.Routers
		}
	}
	return all
}
