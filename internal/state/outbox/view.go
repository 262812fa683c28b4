package outbox

// View is the content of an outbox. Its maps and slices are replaced, never changed in place, so that a copy
// stays as it was.
type View struct {
	// Pending are the entries that are not marked as done, in the order in which they were accepted.
	Pending []Entry
	// Subjects have what is known of each subject, whether or not an entry of it is pending.
	Subjects map[Subject]SubjectRecord
	// Accepted counts the entries that were accepted, Superseded those that a newer entry of their subject has
	// replaced before they were done, and Dropped those that a reset has removed.
	Accepted   uint64
	Superseded uint64
	Dropped    uint64
	// Incomplete means that this replica was rebuilt from a copy of the state without the outbox. It accepts
	// nothing until the outbox is reset.
	Incomplete bool
}

// SubjectRecord is what is known of a subject.
type SubjectRecord struct {
	// Highest is the highest number that was ever accepted.
	Highest uint64
	// AcceptedAt is the position of that entry among all accepted ones.
	AcceptedAt uint64
	// Latest is the last accepted entry, done or not, of a subject with RetainLatest; nil with RetainEach.
	Latest *Entry
}

// Highest returns the highest number of a subject that was ever accepted; false if there is none.
func (v View) Highest(subject Subject) (uint64, bool) {
	record, known := v.Subjects[subject]
	return record.Highest, known
}

// Latest returns the last accepted entry of a subject with RetainLatest, done or not; false if there is none.
func (v View) Latest(subject Subject) (Entry, bool) {
	record := v.Subjects[subject]
	if record.Latest == nil {
		return Entry{}, false
	}
	return *record.Latest, true
}

// PendingOf returns the pending entries of a subject, in the order of their numbers.
func (v View) PendingOf(subject Subject) []Entry {
	var entries []Entry
	for _, entry := range v.Pending {
		if entry.Subject == subject {
			entries = append(entries, entry)
		}
	}
	return entries
}
