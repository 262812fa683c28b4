package registry

import (
	"bytes"
	"encoding/gob"
	"maps"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
	"coursepass/internal/state/pairing"
)

// assignmentChangeTag is the first byte of an encoded change of an assignment. No gob stream begins with it, so that
// a build that knows no changes rejects one as malformed: its revision then differs from the one that the change
// leads to, and a router of such a build fetches the whole state. Members must all know changes before one is
// proposed.
const assignmentChangeTag byte = 0x81

// EncodeAssignmentChange encodes a change of an assignment as a log entry.
func EncodeAssignmentChange(change pairing.AssignmentChange) []byte {
	return append([]byte{assignmentChangeTag}, gobcodec.Encode(change)...)
}

// isAssignmentChange tells whether data is an encoded change of an assignment.
func isAssignmentChange(data []byte) bool { return len(data) > 0 && data[0] == assignmentChangeTag }

// changeAssignment applies an encoded change, unless it returns another code than OK: the change is malformed, is of
// an earlier term, or applies to another assignment than the one in force.
func (s *State) changeAssignment(data []byte) errcode.Code {
	var change pairing.AssignmentChange
	if gob.NewDecoder(bytes.NewReader(data[1:])).Decode(&change) != nil {
		return errcode.MalformedMessage
	}
	current := s.Assignments[change.Service]
	if change.Term < current.Term {
		return errcode.TermStale
	}
	changed, applies := change.Apply(current)
	if !applies {
		return errcode.RevisionStale
	}
	s.Assignments = maps.Clone(s.Assignments)
	s.Assignments[change.Service] = changed
	return errcode.OK
}
