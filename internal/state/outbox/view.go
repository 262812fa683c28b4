package outbox

// View is the content of an outbox. Its maps and slices are replaced and never modified in place, so a shallow
// copy of a View doesn't change.
type View struct {
	// Pending holds the entries that are not marked as done, in the order of acceptance.
	Pending []Entry
	// Subjects holds a record of each known subject, whether or not the subject has a pending entry.
	Subjects map[Subject]SubjectRecord
	// Accepted is the number of entries accepted so far.
	Accepted uint64
	// Superseded is the number of entries that were replaced by a newer entry of their subject before they were
	// done.
	Superseded uint64
	// Dropped is the number of pending entries that resets have removed.
	Dropped uint64
	// Incomplete means that this replica was rebuilt from a copy of the state that lacked the outbox. An
	// incomplete outbox accepts no entries until it is reset.
	Incomplete bool
}

// SubjectRecord holds the numbers accepted for a subject and, with RetainLatest, its latest entry.
type SubjectRecord struct {
	// Highest is the highest number accepted so far, or the floor that the last reset has set.
	Highest uint64
	// AcceptedAt is the position of the entry with the number Highest among all accepted entries; 0 if the number
	// is a floor.
	AcceptedAt uint64
	// Latest is the last accepted entry, done or not, of a subject with RetainLatest; nil with RetainEach.
	Latest *Entry
}

// Highest returns the highest number that was accepted for a subject, or the subject's floor; false if the
// subject is unknown.
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

// PendingOf returns the pending entries of a subject in the order of their numbers.
func (v View) PendingOf(subject Subject) []Entry {
	var entries []Entry
	for _, entry := range v.Pending {
		if entry.Subject == subject {
			entries = append(entries, entry)
		}
	}
	return entries
}
