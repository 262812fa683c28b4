package gossip

// Head names a state of a shard: its log index and that entry's term, the revision of the state, and the
// epoch of the shard's membership.
type Head struct {
	Shard    int    `json:"Part"`
	Index    uint64 `json:"Index"`
	Term     uint64 `json:"Round"`
	Revision uint64 `json:"Sequence"`
	Epoch    uint64 `json:"Epoch"`
}

// SameState tells whether the states of two log indexes are equal: the entries between changed nothing.
func (h Head) SameState(other Head) bool {
	return h.Revision == other.Revision && h.Epoch == other.Epoch
}

// Entry is a committed entry of a shard's log.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

func entriesSize(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += len(entry.Data)
	}
	return total
}

// Update is a state of a shard: the snapshot as Data, the last log entries up to it as Entries, or both.
// Without either it has the state that its receiver has already, at a later index.
type Update struct {
	Head
	Data    []byte
	Entries []Entry
}

// Size returns how many bytes of state the update carries.
func (u Update) Size() int { return len(u.Data) + entriesSize(u.Entries) }

// entriesSince returns the entries after an index up to the update's own, or nil unless all are there.
func (u Update) entriesSince(index uint64) []Entry {
	if len(u.Entries) == 0 || u.Entries[len(u.Entries)-1].Index != u.Index {
		return nil
	}
	for position, entry := range u.Entries {
		count := uint64(len(u.Entries) - position)
		if entry.Index == index+1 && u.Index-index == count {
			return u.Entries[position:]
		}
	}
	return nil
}

// PushRequest has updates that a peer pushes. From is its address, which a receiver asks that lacks the
// state to which the entries apply.
type PushRequest struct {
	From    string
	Updates []Update
}

// Digest has the heads of the states that a daemon stores.
type Digest struct{ Heads []Head }

// DigestResponse has the updates that the sender of the digest lacks, and the receiver's own heads.
type DigestResponse struct {
	Updates []Update
	Heads   []Head
}
