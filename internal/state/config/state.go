package config

import (
	"bytes"
	"encoding/gob"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
)

// maxRollbacks is the number of earlier documents that can be restored.
const maxRollbacks = 3

// Document is a document with the parameters set in it, kept for a rollback.
type Document struct {
	Document string
	Changes  map[string]string
	Plan     Plan
}

// persistentState is the content of a snapshot.
type persistentState struct {
	View
	// Format is the snapshot format, see snapshotFormat.
	Format int
	// Previous are the previous documents, newest last.
	Previous []Document
	// Accepted are the applied operations on routes by label, Keyed the applied
	// operations with a key by revision, and Rejections the latest rejected ones with a key.
	Accepted   acceptedOperations
	Keyed      acceptedOperations
	Rejections []Rejection
	// ZoneChanges are the revisions at which zones were last evacuated or returned.
	ZoneChanges map[string]uint64
}

// State is the configuration state machine that the log of shard 0 drives. It is
// not safe for concurrent use.
type State struct {
	persistentState
}

// NewState returns the state before any configuration.
func NewState() *State { return &State{} }

// View returns a copy of the configuration in force.
func (s *State) View() View { return s.persistentState.View }

// CurrentRevision returns the revision in force.
func (s *State) CurrentRevision() uint64 { return s.Revision }

// Apply applies one committed operation and returns the encoded Outcome. An
// operation whose key is known changes nothing and gets the recorded outcome. One
// that can't be decoded is answered as malformed.
func (s *State) Apply(data []byte) []byte {
	operation, err := DecodeOperation(data)
	if err != nil {
		malformed := Outcome{Code: errcode.MalformedMessage, Revision: s.Revision, Text: err.Error()}
		return gobcodec.Encode(malformed.ToWire())
	}
	outcome, known := s.Outcome(operation.Key)
	if !known {
		outcome = s.applyOperation(operation)
		s.recordOutcome(operation.Key, outcome)
	}
	return gobcodec.Encode(outcome.ToWire())
}

func (s *State) applyOperation(operation Operation) Outcome {
	if operation.isRouting() {
		return s.applyRouting(operation)
	}
	if operation.isMaintenance() {
		return s.applyMaintenance(operation)
	}
	if rejection := s.checkApplicable(operation); rejection.Code != errcode.OK {
		return rejection
	}
	s.Revision++
	switch operation.Kind {
	case OperationRollback:
		s.restorePreviousDocument()
	case OperationApply:
		s.pushRollbackDocument()
		s.Document, s.Changes, s.Plan = operation.Document, nil, operation.Plan
		s.dropUnknownEvacuations()
	case OperationPatch:
		s.pushRollbackDocument()
		s.Changes, s.Plan = operation.Changes, operation.Plan
	case OperationEvacuate:
		s.evacuate(operation.Zone)
	case OperationReturn:
		s.endEvacuation(operation.Zone)
	default:
		// Draft rejects unknown kinds. One that a later build wrote only takes a revision.
	}
	return Outcome{Revision: s.Revision}
}

// checkApplicable returns the rejection of an operation that doesn't fit the state
// in force, or an outcome with code OK.
func (s *State) checkApplicable(operation Operation) Outcome {
	switch {
	case operation.Commutes() && !s.canEvacuate(operation.Zone):
		return Outcome{Code: errcode.UnknownZone, Revision: s.Revision, Text: operation.Zone}
	case !operation.Commutes() && operation.Expected != s.Revision:
		return s.reject(newStaleError(operation.Expected, s.Revision), errcode.RevisionStale)
	case s.isSuperseded(operation):
		return s.reject(s.newSupersededError(operation), errcode.RevisionStale)
	case operation.Kind == OperationRollback && len(s.Previous) == 0:
		return Outcome{Code: errcode.UnknownOperation, Revision: s.Revision, Text: "no earlier document is known"}
	}
	return Outcome{Code: errcode.OK}
}

// reject returns the outcome of an operation that leaves the state unchanged;
// fallback is the code of an error that carries none.
func (s *State) reject(err error, fallback errcode.Code) Outcome {
	return Outcome{Code: errcode.CodeOf(err, fallback), Revision: s.Revision, Text: errcode.Text(err)}
}

// pushRollbackDocument keeps the document in force for a rollback, before it is
// replaced. The first document has no predecessor to keep.
func (s *State) pushRollbackDocument() {
	if s.Document == "" {
		return
	}
	s.Previous = append(slices.Clone(s.Previous), Document{s.Document, s.Changes, s.Plan})
	if len(s.Previous) > maxRollbacks {
		s.Previous = slices.Clone(s.Previous[1:])
	}
}

// restorePreviousDocument rolls back to the newest document that was replaced.
func (s *State) restorePreviousDocument() {
	newest := len(s.Previous) - 1
	previous := s.Previous[newest]
	s.Previous = slices.Clone(s.Previous[:newest])
	s.Document, s.Changes, s.Plan = previous.Document, previous.Changes, previous.Plan
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() []byte {
	s.Format = snapshotFormat
	return gobcodec.Encode(s.toWire())
}

// Clone returns a copy. What the two share is replaced when it changes, never changed in place.
func (s *State) Clone() *State {
	clone := *s
	clone.Accepted, clone.Keyed = slices.Clip(s.Accepted), slices.Clip(s.Keyed)
	return &clone
}

// Restore replaces the state by a snapshot, also by one of an earlier build. A
// snapshot that can't be decoded is ignored.
func (s *State) Restore(snapshot []byte) {
	if restored, valid := DecodeState(snapshot); valid {
		*s = *restored
	}
}

// DecodeState decodes a snapshot, also one of an earlier build; false if it is malformed.
func DecodeState(snapshot []byte) (*State, bool) {
	var decoded persistentStateWire
	if gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&decoded) != nil {
		return nil, false
	}
	restored := &State{persistentState: decoded.toDomain()}
	if decoded.Format == 0 {
		restored.restoreLegacy(snapshot)
	}
	return restored, true
}

// Encode encodes the operation as a log entry.
func (o Operation) Encode() []byte { return gobcodec.Encode(o.ToWire()) }
