package outbox

import (
	"cmp"
	"maps"
	"slices"

	"coursepass/internal/errcode"
)

// The bounds of an outbox. They are part of the state machine: a replica with others would differ.
const (
	maxNameBytes    = 256
	maxPayloadBytes = 128 << 10
	// maxPendingBytes limits the payloads of all pending entries together, maxPending their number.
	maxPendingBytes = 512 << 10
	maxPending      = 1024
	// maxPendingOfSubject limits the pending entries of a subject, so that one that can't be delivered leaves
	// room for the others.
	maxPendingOfSubject = 256
	maxSubjects         = 4096
)

// State is the state machine of an outbox. It is not safe for concurrent use.
type State struct{ View }

// NewState returns an empty outbox.
func NewState() *State { return &State{View{Subjects: map[Subject]SubjectRecord{}}} }

// IsEmpty tells whether the outbox is as new.
func (s *State) IsEmpty() bool {
	return !s.Incomplete && len(s.Pending) == 0 && len(s.Subjects) == 0 && s.Superseded+s.Dropped == 0
}

// Apply applies one committed operation.
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

// reset empties an outbox whose content was lost at the leader. Numbers up to the floors are never accepted.
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

// markDone removes the entries of a subject up to a number, since they are sent in order. A mark without
// entries changes nothing.
func (s *State) markDone(mark Mark) {
	s.Pending = slices.DeleteFunc(slices.Clone(s.Pending), func(entry Entry) bool {
		return entry.Subject == mark.Subject && entry.Number <= mark.Number
	})
}

// accept adds an entry, unless it returns another code than OK.
func (s *State) accept(entry Entry) errcode.Code {
	if s.Incomplete {
		return errcode.OutboxIncomplete
	}
	if code := s.check(entry); code != errcode.OK {
		return code
	}
	record, known := s.Subjects[entry.Subject]
	if known && entry.Number <= record.Highest {
		return errcode.EntryNumberTaken
	}
	if known && (record.Latest != nil) != (entry.Retention == RetainLatest) {
		return errcode.Malformed
	}
	remaining := s.remainingAfter(entry)
	if !hasRoom(remaining, entry) || !known && !s.makeSubjectRoom() {
		return errcode.OutboxFull
	}
	s.Superseded += uint64(len(s.Pending) - len(remaining))
	remaining = append(remaining, entry)
	s.Pending = remaining
	s.recordAccepted(entry)
	return errcode.OK
}

// check returns Malformed for an entry that no outbox accepts.
func (s *State) check(entry Entry) errcode.Code {
	named := entry.Kind != "" && len(entry.Kind) <= maxNameBytes && len(entry.Name) <= maxNameBytes
	retained := entry.Retention == RetainEach || entry.Retention == RetainLatest
	if !named || !retained || len(entry.Payload) > maxPayloadBytes {
		return errcode.Malformed
	}
	return errcode.OK
}

// remainingAfter returns a copy of the pending entries without those that the entry supersedes.
func (s *State) remainingAfter(entry Entry) []Entry {
	remaining := slices.Clone(s.Pending)
	if entry.Retention == RetainEach {
		return remaining
	}
	return slices.DeleteFunc(remaining, func(earlier Entry) bool { return earlier.Subject == entry.Subject })
}

// hasRoom tells whether the entry may be pending beside others.
func hasRoom(others []Entry, entry Entry) bool {
	size, ofSubject := len(entry.Payload), 0
	for _, other := range others {
		size += len(other.Payload)
		if other.Subject == entry.Subject {
			ofSubject++
		}
	}
	return len(others) < maxPending && size <= maxPendingBytes && ofSubject < maxPendingOfSubject
}

// makeSubjectRoom makes room for one more subject, and returns false if there is none. It forgets the subject
// with RetainLatest that is idle for longest: all that its record prevents is that numbers start again.
func (s *State) makeSubjectRoom() bool {
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

// recordAccepted remembers the number of an entry that was accepted and, with RetainLatest, the entry.
func (s *State) recordAccepted(entry Entry) {
	s.Accepted++
	record := SubjectRecord{Highest: entry.Number, AcceptedAt: s.Accepted}
	if entry.Retention == RetainLatest {
		record.Latest = &entry
	}
	s.Subjects = maps.Clone(s.Subjects)
	s.Subjects[entry.Subject] = record
}
