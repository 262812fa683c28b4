package gossip

// Head identifies a state of a shard. Index is the log index of the last applied entry, Term is the term of that
// entry, Revision is the revision of the state, and Epoch is the epoch of the shard's membership.
type Head struct {
	Shard    int    `json:"Part"`
	Index    uint64 `json:"Index"`
	Term     uint64 `json:"Round"`
	Revision uint64 `json:"Sequence"`
	Epoch    uint64 `json:"Epoch"`
}

// SameState reports whether two heads identify equal states. The states at two log indexes are equal if no entry
// between the indexes changed the state.
func (h Head) SameState(other Head) bool {
	return h.Revision == other.Revision && h.Epoch == other.Epoch
}

// Entry is a committed entry of a shard's log.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// entriesSize returns the total size of the entries' data in bytes.
func entriesSize(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += len(entry.Data)
	}
	return total
}

// Update carries a state of a shard: a snapshot in Data, the log entries that lead to the state in Entries, or both.
// If both are nil, the state equals the one that the receiver already has, and only the log index is newer.
type Update struct {
	Head
	Data    []byte
	Entries []Entry
}

// Size returns the size of the update's snapshot and entries in bytes.
func (u Update) Size() int { return len(u.Data) + entriesSize(u.Entries) }

// entriesSince returns the entries after index up to the update's own index. It returns nil if any of these entries
// is missing.
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

// PushRequest carries the updates that a peer pushes. From is the address of the sender. A receiver that lacks the
// state to which the entries apply requests the state from this address.
type PushRequest struct {
	From    string
	Updates []Update
}

// Digest lists the heads of all states that a daemon stores.
type Digest struct{ Heads []Head }

// DigestResponse carries the updates that the sender of the digest lacks, and the heads of all states that the
// responder stores.
type DigestResponse struct {
	Updates []Update
	Heads   []Head
}
