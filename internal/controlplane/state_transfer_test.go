package controlplane_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/controlplane"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/gossip"
	"coursepass/internal/state/registry"
)

// Four states follow each other; their steps arrive in every order, each of them once,
// twice, with a hole, or as garbage. A store only ever has a state that the log has had, and
// after one comparison with a store that has all it has the last.
func TestStore_ReconstructsStateFromEntries(t *testing.T) {
	source, updates := gossip.NewStore(controlplane.ApplyEntries, nil), []gossip.Update{}
	state := registry.NewState()
	engineCounts := map[uint64]int{0: 0}
	for index := uint64(1); index <= 4; index++ {
		operation := registry.Operation{Kind: registry.OperationRegister, Engine: registry.Engine{Name: fmt.Sprint("e", index), Service: "s", Incarnation: "1"}}
		state.Apply(operation.Encode())
		update := gossip.Update{
			Head: gossip.Head{Part: 1, Index: index, Round: 1, Sequence: state.Sequence}, Data: consensus.EncodeSnapshot(consensus.Membership{}, state.Snapshot()),
			Steps: []gossip.Entry{{Index: index, Round: 1, Data: append([]byte{0}, operation.Encode()...)}},
		}
		source.Accept(update)
		engineCounts[index] = len(state.Engines)
		if index > 1 {
			update.Data = nil
		}
		updates = append(updates, update)
	}
	engines := func(store *gossip.Store) (uint64, int) {
		update, exists := store.Get(1)
		if !exists {
			return 0, 0
		}
		_, snapshot, _ := consensus.DecodeSnapshot(update.Data)
		view, _ := registry.DecodeView(snapshot)
		return update.Index, len(view.Engines)
	}
	appliedCount, repairedCount := 0, 0
	simulation.Permutations(4, func(permutation []int) {
		for fault := range 4 {
			store := gossip.NewStore(controlplane.ApplyEntries, nil)
			for _, position := range permutation {
				update := updates[position]
				switch {
				case fault == 1:
					store.Accept(update)
				case fault == 2 && position == 2:
					continue
				case fault == 3 && position == 1:
					update.Steps = []gossip.Entry{{Index: update.Index, Round: 1, Data: []byte{0, 1, 2}}}
				}
				store.Accept(update)
				if index, count := engines(store); count != engineCounts[index] {
					t.Fatalf("order %v: %d engines at index %d", permutation, count, index)
				}
			}
			appliedCount += int(store.AppliedIncrementally.Load())
			response := source.CompareDigest(gossip.Digest{Heads: store.Heads()})
			for _, update := range response.Items {
				if update.Data == nil {
					repairedCount++
				}
				store.Accept(update)
			}
			if index, count := engines(store); index != 4 || count != 4 {
				t.Fatalf("order %v: %d engines at index %d after a comparison", permutation, count, index)
			}
		}
	})
	Convey("steps were taken, and sent to those behind", t, func() {
		So(appliedCount, ShouldBeGreaterThan, 20)
		So(repairedCount, ShouldBeGreaterThan, 5)
	})
}
