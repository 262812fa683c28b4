package gossip

import (
	"fmt"
	"slices"
	"testing"
)

// byteState is a state whose snapshot is the concatenation of the data of all entries. Its revision is its length.
type byteState []byte

// malformedByte is the first byte of a snapshot that cannot be decoded.
const malformedByte = 0xff

func decodeBytes(_ int, snapshot []byte) (State, bool) {
	return byteState(snapshot), len(snapshot) == 0 || snapshot[0] != malformedByte
}

func (b byteState) Apply(entries []Entry, revision uint64) (State, bool) {
	next := slices.Clone(b)
	for _, entry := range entries {
		next = append(next, entry.Data...)
	}
	return next, uint64(len(next)) == revision
}

func (b byteState) Snapshot() []byte { return b }

// snapshotUpdate returns an update with a snapshot of the state after index one-byte entries.
func snapshotUpdate(index uint64) Update {
	return Update{Head: Head{Shard: 1, Index: index, Revision: index}, Data: make([]byte, index)}
}

// entriesUpdate returns an update to the state at index that has only the last count entries and no snapshot.
func entriesUpdate(index, count uint64) Update {
	update := Update{Head: Head{Shard: 1, Index: index, Revision: index}}
	for entry := index - count + 1; entry <= index; entry++ {
		update.Entries = append(update.Entries, Entry{Index: entry, Data: []byte{0}})
	}
	return update
}

func TestStore_Accept(t *testing.T) {
	sameState := entriesUpdate(5, 1)
	sameState.Revision = 4
	lowerRevision := snapshotUpdate(5)
	lowerRevision.Revision = 3
	wrongRevision := entriesUpdate(5, 1)
	wrongRevision.Revision = 6
	malformed := snapshotUpdate(7)
	malformed.Data[0] = malformedByte
	for _, testCase := range []struct {
		name    string
		update  Update
		changed bool
		index   uint64
	}{
		{"a later snapshot", snapshotUpdate(7), true, 7},
		{"the next entry", entriesUpdate(5, 1), true, 5},
		{"entries that overlap", entriesUpdate(6, 5), true, 6},
		{"entries after a gap", entriesUpdate(6, 1), false, 4},
		{"entries that result in another revision", wrongRevision, false, 4},
		{"the same state at a later index", sameState, false, 5},
		{"the stored index", snapshotUpdate(4), false, 4},
		{"an earlier index", snapshotUpdate(3), false, 4},
		{"a lower revision", lowerRevision, false, 4},
		{"a malformed snapshot", malformed, false, 4},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			changes := 0
			store := NewStore(decodeBytes, func(Head, State) { changes++ })
			store.Accept(snapshotUpdate(4))
			changed := store.Accept(testCase.update)
			if changed != testCase.changed {
				t.Errorf("Accept returned %t, want %t", changed, testCase.changed)
			}
			if wanted := map[bool]int{false: 1, true: 2}[testCase.changed]; changes != wanted {
				t.Errorf("%d calls of onChange, want %d", changes, wanted)
			}
			stored, _ := store.Get(1)
			if stored.Index != testCase.index || uint64(len(stored.Data)) != stored.Revision {
				t.Errorf("stored index is %d with %d bytes, want index %d with one byte per revision",
					stored.Index, len(stored.Data), testCase.index)
			}
		})
	}
}

func TestStore_EmptyStoreNeedsSnapshot(t *testing.T) {
	store := NewStore(decodeBytes, nil)
	if store.Accept(entriesUpdate(1, 1)) {
		t.Error("an empty store accepted entries without a snapshot")
	}
	if needed := store.SnapshotsNeeded.Load(); needed != 1 {
		t.Errorf("SnapshotsNeeded is %d, want 1", needed)
	}
}

// admitAll is an admit function that accepts updates of any size.
func admitAll(int) bool { return true }

func TestStore_CompareDigestOmitsRejectedUpdates(t *testing.T) {
	store := NewStore(decodeBytes, nil)
	store.Accept(snapshotUpdate(4))
	response := store.CompareDigest(Digest{}, func(size int) bool { return size != 4 })
	if len(response.Updates) != 0 || len(response.Heads) != 1 {
		t.Errorf("got %d updates and %d heads, want no updates and 1 head", len(response.Updates), len(response.Heads))
	}
}

func TestStore_CompareDigestSendsSmallestForm(t *testing.T) {
	store := NewStore(decodeBytes, nil)
	store.Accept(snapshotUpdate(4))
	store.Accept(entriesUpdate(6, 2))
	sameState := Head{Shard: 1, Index: 5, Revision: 6}
	for _, testCase := range []struct {
		name    string
		heads   []Head
		updates string
	}{
		{"nothing stored", nil, "data 6, entries 0"},
		{"up to date", []Head{{Shard: 1, Index: 6, Revision: 6}}, ""},
		{"ahead", []Head{{Shard: 1, Index: 7, Revision: 7}}, ""},
		{"the same state", []Head{sameState}, "data 0, entries 0"},
		{"behind by retained entries", []Head{{Shard: 1, Index: 4, Revision: 4}}, "data 0, entries 2"},
		{"behind by more", []Head{{Shard: 1, Index: 3, Revision: 3}}, "data 6, entries 0"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			response := store.CompareDigest(Digest{Heads: testCase.heads}, admitAll)
			updates := ""
			for _, update := range response.Updates {
				updates += fmt.Sprintf("data %d, entries %d", len(update.Data), len(update.Entries))
			}
			if updates != testCase.updates {
				t.Errorf("got updates %q, want %q", updates, testCase.updates)
			}
			if len(response.Heads) != 1 {
				t.Errorf("got %d heads, want 1", len(response.Heads))
			}
		})
	}
}

// countingState counts the calls of Snapshot.
type countingState struct {
	byteState
	encoded *int
}

func (c countingState) Snapshot() []byte {
	*c.encoded++
	return c.byteState
}

func TestStore_EncodesSnapshotOnceOnDemand(t *testing.T) {
	store, encoded := NewStore(decodeBytes, nil), 0
	update := entriesUpdate(4, 1)
	if !store.AcceptState(update, countingState{byteState(make([]byte, 4)), &encoded}) {
		t.Fatal("AcceptState did not accept the state")
	}
	store.CompareDigest(Digest{Heads: []Head{update.Head}}, admitAll)
	if encoded != 0 {
		t.Errorf("the state was encoded %d times before its snapshot was requested, want 0", encoded)
	}
	for range 3 {
		if stored, _ := store.Get(1); len(stored.Data) != 4 {
			t.Errorf("the snapshot has %d bytes, want 4", len(stored.Data))
		}
		store.CompareDigest(Digest{}, admitAll)
	}
	if encoded != 1 {
		t.Errorf("the state was encoded %d times, want 1", encoded)
	}
}
