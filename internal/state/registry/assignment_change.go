package registry

import (
	"bytes"
	"encoding/gob"
	"maps"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
	"coursepass/internal/state/pairing"
)

// assignmentChangeTag is the first byte of an encoded assignment change. No gob stream begins with this byte, so a
// build that predates assignment changes rejects the entry as malformed. The revision of a router of such a build then
// differs from the revision after the change, and the router fetches the whole state. No change may be proposed before
// all members support assignment changes.
const assignmentChangeTag byte = 0x81

// EncodeAssignmentChange encodes an assignment change as a log entry.
func EncodeAssignmentChange(change pairing.AssignmentChange) []byte {
	return append([]byte{assignmentChangeTag}, gobcodec.Encode(change)...)
}

// isAssignmentChange reports whether data is an encoded assignment change.
func isAssignmentChange(data []byte) bool { return len(data) > 0 && data[0] == assignmentChangeTag }

// changeAssignment applies an encoded assignment change. It leaves the state unchanged and returns a code other than OK
// if the change is malformed, belongs to an earlier term, or is based on an assignment other than the current one.
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
