package core_test

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
func TestStatesTravelAsSteps(test *testing.T) {
	full, items := news.NewStore(core.Advance, nil), []news.Item{}
	state := catalogue.NewState()
	states := map[uint64]int{0: 0}
	for index := uint64(1); index <= 4; index++ {
		operation := catalogue.Operation{Kind: catalogue.Enrol, Engine: catalogue.Engine{Name: fmt.Sprint("e", index), Service: "s", Incarnation: "1"}}
		state.Apply(operation.Encode())
		item := news.Item{
			Head: news.Head{Part: 1, Index: index, Round: 1, Sequence: state.Sequence}, Data: part.Pack(part.Bindings{}, state.Snapshot()),
			Steps: []news.Step{{Index: index, Round: 1, Data: append([]byte{0}, operation.Encode()...)}},
		}
		full.Take(item)
		states[index] = len(state.Engines)
		if index > 1 {
			item.Data = nil
		}
		items = append(items, item)
	}
	engines := func(store *news.Store) (uint64, int) {
		item, known := store.Item(1)
		if !known {
			return 0, 0
		}
		_, capture, _ := part.Unpack(item.Data)
		view, _ := catalogue.Read(capture)
		return item.Index, len(view.Engines)
	}
	stepped, mended := 0, 0
	simulation.Orders(4, func(order []int) {
		for ailment := range 4 {
			store := news.NewStore(core.Advance, nil)
			for _, place := range order {
				item := items[place]
				switch {
				case ailment == 1:
					store.Take(item)
				case ailment == 2 && place == 2:
					continue
				case ailment == 3 && place == 1:
					item.Steps = []news.Step{{Index: item.Index, Round: 1, Data: []byte{0, 1, 2}}}
				}
				store.Take(item)
				if index, count := engines(store); count != states[index] {
					test.Fatalf("order %v: %d engines at index %d", order, count, index)
				}
			}
			stepped += int(store.Stepped.Load())
			answer := full.Compare(news.Digest{Heads: store.Heads()})
			for _, item := range answer.Items {
				if item.Data == nil {
					mended++
				}
				store.Take(item)
			}
			if index, count := engines(store); index != 4 || count != 4 {
				test.Fatalf("order %v: %d engines at index %d after a comparison", order, count, index)
			}
		}
	})
	Convey("steps were taken, and sent to those behind", test, func() {
		So(stepped, ShouldBeGreaterThan, 20)
		So(mended, ShouldBeGreaterThan, 5)
	})
}
