package replication

import (
	"errors"
	"fmt"

	"coursepass/internal/errcode"
)

// ErrOvertaken is the cause of the error that rejects a change because another one may have come between.
var ErrOvertaken = errors.New("the operation was not executed")

// AllSubjects is the subject of a change that may affect what any other change of the shard affects.
const AllSubjects = "*"

// maxChangeSubjects is the maximum number of subjects whose latest change is remembered one by one.
const maxChangeSubjects = 8192

// Change says what an operation changes that a caller has asked for, and what was known when the caller asked. The
// request may be delayed by each server and each link on its way to the leader, while its caller gives up and has other
// requests acknowledged. The leader therefore appends an unconditional change only if no change of the same subject was
// appended after the log index that was observed.
//
// The zero Change is an operation that no caller has asked for.
type Change struct {
	// Subject names what the operation changes, such as a zone or an engine. It is empty if the operation conflicts
	// with no other change.
	Subject string
	// Unconditional means that the operation takes effect whatever was changed before it. Other operations name the
	// state that they build on, and the state machine compares it.
	Unconditional bool
	// ObservedIndex is a log index that was known to be committed while the caller waited, or 0 if none is known.
	ObservedIndex uint64
	// Harmless, if set, reports whether the applied state alone shows that the operation can undo nothing, for example
	// because it asks for the state that is in force. It runs in the shard's loop.
	Harmless func() bool
}

// changeHistory holds the log index of the latest change of each subject that the present leader has appended. It begins
// anew with each term. Only the loop of a shard uses it.
type changeHistory struct {
	term uint64
	// floor is at or above the index of the latest change of every subject that latest does not name.
	floor  uint64
	latest map[string]uint64
}

// beginTerm forgets the changes of an earlier term, given the index of the first entry of the present one. Any entry
// before that one may be a change of any subject.
func (h *changeHistory) beginTerm(term, firstTermIndex uint64) {
	if h.term == term && h.latest != nil {
		return
	}
	h.term = term
	h.floor = firstTermIndex - 1
	h.latest = map[string]uint64{}
}

// latestIndex returns an index that is at or above that of the latest change of a subject.
func (h *changeHistory) latestIndex(subject string) uint64 {
	return max(h.floor, h.latest[subject])
}

// check returns an error with code NoQuorum if the change may undo another one that was appended after its caller had
// asked. All entries up to commitIndex are applied.
func (h *changeHistory) check(change Change, commitIndex uint64) error {
	if !change.Unconditional {
		return nil
	}
	latest := h.latestIndex(change.Subject)
	if change.ObservedIndex > 0 && latest <= change.ObservedIndex {
		return nil
	}
	if latest <= commitIndex && change.Harmless != nil && change.Harmless() {
		return nil
	}
	return errcode.Wrap(ErrOvertaken, errcode.NoQuorum, fmt.Sprintf(
		"%q may have changed since the request was sent, up to log index %d; the request observed index %d",
		change.Subject, latest, change.ObservedIndex))
}

// record notes that a change was appended at a log index.
func (h *changeHistory) record(subject string, index uint64) {
	if subject == "" {
		return
	}
	if subject == AllSubjects || len(h.latest) >= maxChangeSubjects {
		h.floor = index
		clear(h.latest)
		return
	}
	h.latest[subject] = index
}
