package shardstate_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/registry"
)

// lastUpdateIndex is the log index of the last update that the test delivers.
const lastUpdateIndex = 4

// deliveryFault is a fault in the delivery of updates.
type deliveryFault int

const (
	faultNone deliveryFault = iota
	faultDuplicates
	faultMissingUpdate
	faultMalformedEntry
	faultCount
)

// entryUpdates returns a store that has accepted all updates, the updates, and the number of engines by log index. Each
// update registers an engine. The first update has a snapshot, and the others have entries only.
func entryUpdates() (*gossip.Store, []gossip.Update, map[uint64]int) {
	source, updates := gossip.NewStore(shardstate.Decode, nil), []gossip.Update{}
	state := registry.NewState()
	engineCounts := map[uint64]int{0: 0}
	for index := uint64(1); index <= lastUpdateIndex; index++ {
		engine := registry.Engine{Name: fmt.Sprint("e", index), Service: "s", Incarnation: "1"}
		operation := registry.Operation{Kind: registry.OperationRegister, Engine: engine}
		state.Apply(operation.Encode())
		update := gossip.Update{
			Head:    gossip.Head{Shard: 1, Index: index, Term: 1, Revision: state.Revision},
			Data:    consensus.EncodeSnapshot(consensus.Membership{}, state.Snapshot()),
			Entries: []gossip.Entry{{Index: index, Term: 1, Data: append([]byte{0}, operation.Encode()...)}},
		}
		source.Accept(update)
		engineCounts[index] = len(state.Engines)
		if index > 1 {
			update.Data = nil
		}
		updates = append(updates, update)
	}
	return source, updates, engineCounts
}

// storedEngines returns the log index and the number of engines of the stored state.
func storedEngines(store *gossip.Store) (uint64, int) {
	update, exists := store.Get(1)
	if !exists {
		return 0, 0
	}
	_, snapshot, _ := consensus.DecodeSnapshot(update.Data)
	view, _ := registry.DecodeView(snapshot)
	return update.Index, len(view.Engines)
}

// deliver makes the store accept the update at a position, subject to the fault.
func deliver(store *gossip.Store, update gossip.Update, position int, fault deliveryFault) {
	switch {
	case fault == faultDuplicates:
		store.Accept(update)
	case fault == faultMissingUpdate && position == 2:
		return
	case fault == faultMalformedEntry && position == 1:
		update.Entries = []gossip.Entry{{Index: update.Index, Term: 1, Data: []byte{0, 1, 2}}}
	}
	store.Accept(update)
}

// repair compares the store with the source and makes the store accept the missing updates. It returns how many of
// these updates had entries only.
func repair(source, store *gossip.Store) int {
	entriesOnly := 0
	response := source.CompareDigest(gossip.Digest{Heads: store.Heads()}, func(int) bool { return true })
	for _, update := range response.Updates {
		if update.Data == nil {
			entriesOnly++
		}
		store.Accept(update)
	}
	return entriesOnly
}

// Gossip may deliver updates late, twice, malformed or not at all. The test delivers four consecutive updates in every
// order, with each fault. The store must hold only states that the log has had, and must hold the last state after one
// comparison with a complete store.
func TestPublishedState_StoreReconstructsState(t *testing.T) {
	source, updates, engineCounts := entryUpdates()
	appliedCount, repairedCount := 0, 0
	simulation.Permutations(lastUpdateIndex, func(permutation []int) {
		for fault := range faultCount {
			store := gossip.NewStore(shardstate.Decode, nil)
			for _, position := range permutation {
				deliver(store, updates[position], position, fault)
				if index, count := storedEngines(store); count != engineCounts[index] {
					t.Fatalf("order %v, fault %d: %d engines at index %d, want %d",
						permutation, fault, count, index, engineCounts[index])
				}
			}
			appliedCount += int(store.AppliedIncrementally.Load())
			repairedCount += repair(source, store)
			if index, count := storedEngines(store); index != lastUpdateIndex || count != lastUpdateIndex {
				t.Fatalf("order %v, fault %d: %d engines at index %d after a comparison, want %d at %d",
					permutation, fault, count, index, lastUpdateIndex, lastUpdateIndex)
			}
		}
	})
	Convey("stores applied entries, and comparisons sent entries instead of snapshots", t, func() {
		So(appliedCount, ShouldBeGreaterThan, 20)
		So(repairedCount, ShouldBeGreaterThan, 5)
	})
}

// Routers receive outbox operations without data, so an outbox operation does not change the published state. A store
// must not accept it as a change, and must apply the next registry operation from any earlier log index that has the
// same published state.
func TestPublishedEntry_OmitsOutboxOperations(t *testing.T) {
	register := registry.Operation{Kind: registry.OperationRegister, Engine: registry.Engine{Name: "e", Service: "s"}}
	drafts := outbox.Operation{Drafts: []outbox.Entry{{
		Subject:   outbox.Subject{Kind: "usage"},
		Retention: outbox.RetainEach,
		Payload:   make([]byte, 1000),
	}}}
	operations := [][]byte{register.Encode(), drafts.Encode(), drafts.Encode(), register.Encode()}
	state, updates, entries := registry.NewState(), []gossip.Update{}, []gossip.Entry{}
	for position, operation := range operations {
		state.Apply(operation)
		index := uint64(position + 1)
		entry := gossip.Entry{Index: index, Term: 1, Data: consensus.OperationData(operation)}
		entries = append(entries, shardstate.PublishedEntry(1, entry))
		updates = append(updates, gossip.Update{
			Head:    gossip.Head{Shard: 1, Index: index, Term: 1, Revision: state.Revision},
			Data:    consensus.EncodeSnapshot(consensus.Membership{}, state.PublishedSnapshot()),
			Entries: slices.Clone(entries),
		})
	}
	Convey("only registry operations change the published state", t, func() {
		store := gossip.NewStore(shardstate.Decode, nil)
		for position, changed := range []bool{true, false, false, true} {
			So(store.Accept(updates[position]), ShouldEqual, changed)
		}
		So(updates[3].Entries[1].Data, ShouldBeNil)
		So(updates[3].Entries[3].Data, ShouldResemble, consensus.OperationData(register.Encode()))
		So(shardstate.PublishedEntry(0, gossip.Entry{Data: consensus.OperationData(drafts.Encode())}).Data, ShouldNotBeNil)
	})
	Convey("a store at any earlier index of the same state applies the next change", t, func() {
		for known := range 3 {
			store := gossip.NewStore(shardstate.Decode, nil)
			store.Accept(updates[known])
			last := updates[3]
			last.Data = nil
			So(store.Accept(last), ShouldBeTrue)
			stored, _ := store.Get(1)
			So(stored.Data, ShouldResemble, updates[3].Data)
		}
	})
}
