package outbox

import (
	"cmp"
	"maps"
	"slices"

	"coursepass/internal/errcode"
)

// The limits of an outbox. They are part of the state machine: the state of a replica with other limits would
// diverge.
const (
	// maxNameBytes is the maximum length, in bytes, of the kind of a subject and of its name.
	maxNameBytes = 256
	// maxPayloadBytes is the maximum size, in bytes, of the payload of one entry.
	maxPayloadBytes = 128 << 10
	// maxPendingBytes is the maximum total size, in bytes, of the payloads of all pending entries.
	maxPendingBytes = 512 << 10
	// maxPending is the maximum number of pending entries.
	maxPending = 1024
	// maxPendingOfSubject is the maximum number of pending entries of one subject. It leaves space for the other
	// subjects when the entries of one subject can't be delivered.
	maxPendingOfSubject = 256
	// maxSubjects is the maximum number of subjects with a record.
	maxSubjects = 4096
)

// State is the state machine of an outbox. It is not safe for concurrent use.
type State struct{ View }

// NewState returns an empty outbox.
func NewState() *State { return &State{View{Subjects: map[Subject]SubjectRecord{}}} }

// IsEmpty reports whether the outbox has no entries and no subjects, is not incomplete, and has never superseded
// or dropped an entry.
func (s *State) IsEmpty() bool {
	return !s.Incomplete && len(s.Pending) == 0 && len(s.Subjects) == 0 && s.Superseded+s.Dropped == 0
}

// Apply applies one committed operation and returns a code for each draft.
func (s *State) Apply(operation Operation) Result {
	if operation.Reset {
		s.reset(operation.Floors)
	}
	for _, mark := range operation.Done {
		s.markDone(mark)
	}
	result := Result{Codes: make([]errcode.Code, 0, len(operation.Drafts))}
	for _, entry := range operation.Drafts {
		result.Codes = append(result.Codes, s.accept(entry))
	}
	return result
}

// reset empties the outbox after the leader has lost its content. Numbers up to the floors are not accepted
// afterwards.
func (s *State) reset(floors []Mark) {
	s.Dropped += uint64(len(s.Pending))
	s.Incomplete = false
	s.Pending = nil
	s.Subjects = map[Subject]SubjectRecord{}
	for _, floor := range floors {
		if len(s.Subjects) < maxSubjects {
			s.Subjects[floor.Subject] = SubjectRecord{Highest: floor.Number}
		}
	}
}

// markDone removes the pending entries of a subject up to the number of the mark: the entries are sent in order,
// so all earlier ones are delivered too. A mark that matches no pending entry changes nothing.
func (s *State) markDone(mark Mark) {
	s.Pending = slices.DeleteFunc(slices.Clone(s.Pending), func(entry Entry) bool {
		return entry.Subject == mark.Subject && entry.Number <= mark.Number
	})
}

// accept adds an entry and returns OK, or returns another code and changes nothing.
func (s *State) accept(entry Entry) errcode.Code {
	if s.Incomplete {
		return errcode.OutboxIncomplete
	}
	if code := s.validate(entry); code != errcode.OK {
		return code
	}
	record, known := s.Subjects[entry.Subject]
	if known && entry.Number <= record.Highest {
		return errcode.EntryNumberTaken
	}
	if known && (record.Latest != nil) != (entry.Retention == RetainLatest) {
		return errcode.Malformed
	}
	remaining := s.pendingWithoutSuperseded(entry)
	if !fitsLimits(remaining, entry) || !known && !s.ensureSubjectCapacity() {
		return errcode.OutboxFull
	}
	s.Superseded += uint64(len(s.Pending) - len(remaining))
	remaining = append(remaining, entry)
	s.Pending = remaining
	s.recordAccepted(entry)
	return errcode.OK
}

// validate returns Malformed for an entry that no outbox accepts, whatever the outbox holds, and OK otherwise.
func (s *State) validate(entry Entry) errcode.Code {
	hasValidNames := entry.Kind != "" && len(entry.Kind) <= maxNameBytes && len(entry.Name) <= maxNameBytes
	hasValidRetention := entry.Retention == RetainEach || entry.Retention == RetainLatest
	if !hasValidNames || !hasValidRetention || len(entry.Payload) > maxPayloadBytes {
		return errcode.Malformed
	}
	return errcode.OK
}

// pendingWithoutSuperseded returns a copy of the pending entries without the entries that the new entry supersedes.
func (s *State) pendingWithoutSuperseded(entry Entry) []Entry {
	remaining := slices.Clone(s.Pending)
	if entry.Retention == RetainEach {
		return remaining
	}
	return slices.DeleteFunc(remaining, func(earlier Entry) bool { return earlier.Subject == entry.Subject })
}

// fitsLimits reports whether adding the entry to the other pending entries stays within the limits.
func fitsLimits(others []Entry, entry Entry) bool {
	size, countOfSubject := len(entry.Payload), 0
	for _, other := range others {
		size += len(other.Payload)
		if other.Subject == entry.Subject {
			countOfSubject++
		}
	}
	return len(others) < maxPending && size <= maxPendingBytes && countOfSubject < maxPendingOfSubject
}

// ensureSubjectCapacity ensures that one more subject can be added, and reports whether that is possible. If the
// limit is reached, it removes the record of the idle subject that accepted its last entry first. A subject is idle
// if it has RetainLatest and no pending entry. The record of an idle subject only prevents the numbers of the
// subject from starting again.
func (s *State) ensureSubjectCapacity() bool {
	if len(s.Subjects) < maxSubjects {
		return true
	}
	pending := map[Subject]bool{}
	for _, entry := range s.Pending {
		pending[entry.Subject] = true
	}
	var idle []Subject
	for subject, record := range s.Subjects {
		if record.Latest != nil && !pending[subject] {
			idle = append(idle, subject)
		}
	}
	if len(idle) == 0 {
		return false
	}
	oldest := slices.MinFunc(idle, func(left, right Subject) int {
		return cmp.Compare(s.Subjects[left].AcceptedAt, s.Subjects[right].AcceptedAt)
	})
	s.Subjects = maps.Clone(s.Subjects)
	delete(s.Subjects, oldest)
	return true
}

// recordAccepted stores the number of an accepted entry and, with RetainLatest, the entry itself.
func (s *State) recordAccepted(entry Entry) {
	s.Accepted++
	record := SubjectRecord{Highest: entry.Number, AcceptedAt: s.Accepted}
	if entry.Retention == RetainLatest {
		record.Latest = &entry
	}
	s.Subjects = maps.Clone(s.Subjects)
	s.Subjects[entry.Subject] = record
}
