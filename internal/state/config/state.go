package config

import (
	"bytes"
	"encoding/gob"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
)

// maxRollbacks is the maximum number of replaced documents that are kept for rollbacks.
const maxRollbacks = 3

// Document is a replaced document with its changed parameters, kept for a rollback.
type Document struct {
	Document string
	Changes  map[string]string
	Plan     Plan
}

// persistentState is the content of a snapshot.
type persistentState struct {
	View
	// Format is the version of the snapshot format, see snapshotFormat.
	Format int
	// Previous holds the replaced documents that a rollback can restore, newest last.
	Previous []Document
	// Accepted holds the accepted operations on routes by label, Keyed the accepted
	// operations with a key by revision, and Rejections the latest rejected operations
	// with a key.
	Accepted   acceptedOperations
	Keyed      acceptedOperations
	Rejections []Rejection
	// ZoneChanges maps a zone to the revision at which it was last evacuated or returned.
	ZoneChanges map[string]uint64
}

// State is the configuration state machine, to which the log of shard 0 is applied.
// It is not safe for concurrent use.
type State struct {
	persistentState
}

// NewState returns the empty state, before any operation.
func NewState() *State { return &State{} }

// View returns a copy of the current configuration.
func (s *State) View() View { return s.persistentState.View }

// CurrentRevision returns the current revision.
func (s *State) CurrentRevision() uint64 { return s.Revision }

// Apply applies one committed operation and returns the encoded Outcome. An
// operation whose key is known changes nothing, and Apply returns its recorded
// outcome. For an entry that can't be decoded, the outcome has the code MalformedMessage.
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

// applyOperation applies an operation whose key is not known yet.
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
		// Draft rejects unknown kinds, so this kind comes from a later build. It only
		// increments the revision.
	}
	return Outcome{Revision: s.Revision}
}

// checkApplicable returns the rejection of an operation that is not applicable to the
// current state, or an outcome with code OK.
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

// reject returns the outcome of an operation that is rejected with an error and leaves
// the state unchanged; fallback is the code to use if the error carries none.
func (s *State) reject(err error, fallback errcode.Code) Outcome {
	return Outcome{Code: errcode.CodeOf(err, fallback), Revision: s.Revision, Text: errcode.Text(err)}
}

// pushRollbackDocument keeps the current document for a rollback, before it is
// replaced. Before the first document there is none to keep.
func (s *State) pushRollbackDocument() {
	if s.Document == "" {
		return
	}
	s.Previous = append(slices.Clone(s.Previous), Document{s.Document, s.Changes, s.Plan})
	if len(s.Previous) > maxRollbacks {
		s.Previous = slices.Clone(s.Previous[1:])
	}
}

// restorePreviousDocument rolls back to the document that was replaced last.
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

// Clone returns a copy of the state. The copy shares maps and slices with the original,
// which is safe since both replace them on a change and never modify them in place. Only
// the packed records are appended to; in the copy their capacity is clipped, so that an
// append reallocates them.
func (s *State) Clone() *State {
	clone := *s
	clone.Accepted, clone.Keyed = slices.Clip(s.Accepted), slices.Clip(s.Keyed)
	return &clone
}

// Restore replaces the state by that of a snapshot, which may come from an earlier
// build. A snapshot that can't be decoded is ignored.
func (s *State) Restore(snapshot []byte) {
	if restored, valid := DecodeState(snapshot); valid {
		*s = *restored
	}
}

// DecodeState decodes a snapshot, which may come from an earlier build. It returns
// false if the snapshot is malformed.
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
