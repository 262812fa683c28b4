package shardstate_test

import (
	"fmt"
	"reflect"
	"testing"

	"coursepass/internal/consensus"
	"coursepass/internal/controlplane/shardstate"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// largeFleet is the number of engines in the benchmark.
const largeFleet = 3000

// engineNumber returns the engine with a given number.
func engineNumber(number int) registry.Engine {
	name := fmt.Sprintf("i-%08x", number)
	return registry.Engine{Name: name, Incarnation: name, Service: "s", Zone: "a", Address: "127.0.0.1:7220"}
}

// putEntry returns the log entry at an index that puts an engine into the registry.
func putEntry(index uint64, number int) gossip.Entry {
	operation := registry.Operation{
		Kind: registry.OperationSyncEndpoints,
		Put:  []registry.Engine{engineNumber(number)},
	}
	return gossip.Entry{Index: index, Term: 1, Data: consensus.OperationData(operation.Encode())}
}

// publishedEngines returns the number of engines in a published state.
func publishedEngines(t *testing.T, state gossip.State) int {
	t.Helper()
	view, ok := state.(*shardstate.PublishedState).Engines()
	if !ok {
		t.Fatal("the state is not that of a service shard")
	}
	return len(view.Engines)
}

// A published state is shared with gossip. It must not change when the state machine that it was published from applies
// further entries, when Apply creates another state from it, or when Apply fails because the revision differs.
func TestPublishedState_NeverChanges(t *testing.T) {
	machine := registry.NewState()
	apply := func(entry gossip.Entry) { machine.Apply(entry.Data[1:]) }
	apply(putEntry(1, 1))
	state := shardstate.Publish(consensus.Membership{}, machine)
	before := state.Snapshot()
	apply(putEntry(2, 2))
	next, applied := state.Apply([]gossip.Entry{putEntry(2, 2)}, 2)
	if !applied || publishedEngines(t, next) != 2 {
		t.Error("the entry was not applied")
	}
	if _, applied := state.Apply([]gossip.Entry{putEntry(2, 2)}, 3); applied {
		t.Error("Apply accepted an entry that does not lead to the given revision")
	}
	if count := publishedEngines(t, state); count != 1 || !reflect.DeepEqual(state.Snapshot(), before) {
		t.Errorf("the published state has changed: %d engines, want 1 and the same snapshot", count)
	}
}

// documentEntry returns the log entry that applies a document to the expected revision.
func documentEntry(key string, expected uint64) gossip.Entry {
	operation := config.Operation{Request: config.Request{
		Kind:     config.OperationApply,
		Key:      key,
		Expected: expected,
		Document: "{}",
	}}
	return gossip.Entry{Term: 1, Data: consensus.OperationData(operation.Encode())}
}

// A configuration state stores the operations with a key in one growing buffer. Copies of a state
// must not overwrite each other's operations in this buffer.
func TestPublishedState_CopiesOfAConfigurationAreApart(t *testing.T) {
	machine := config.NewState()
	for machine.CurrentRevision() < 5 {
		revision := machine.CurrentRevision()
		machine.Apply(documentEntry(fmt.Sprint("first-", revision), revision).Data[1:])
	}
	revision := machine.CurrentRevision()
	state := shardstate.Publish(consensus.Membership{}, machine)
	var states []gossip.State
	var snapshots [][]byte
	for _, key := range []string{"left", "right"} {
		next, applied := state.Apply([]gossip.Entry{documentEntry(key, revision)}, revision+1)
		if !applied {
			t.Fatalf("operation %s was not applied", key)
		}
		states, snapshots = append(states, next), append(snapshots, next.Snapshot())
	}
	for index, next := range states {
		if !reflect.DeepEqual(next.Snapshot(), snapshots[index]) {
			t.Errorf("state %d has changed after another copy applied an entry", index)
		}
	}
	if reflect.DeepEqual(snapshots[0], snapshots[1]) {
		t.Error("states with different operations have equal snapshots")
	}
}

func TestDecode_RejectsMalformedSnapshots(t *testing.T) {
	valid := consensus.EncodeSnapshot(consensus.Membership{}, registry.NewState().Snapshot())
	if _, ok := shardstate.Decode(1, valid); !ok {
		t.Error("a valid snapshot was not decoded")
	}
	malformedState := consensus.EncodeSnapshot(consensus.Membership{}, []byte("state"))
	for name, snapshot := range map[string][]byte{
		"empty": nil, "truncated": valid[:len(valid)-1], "malformed in its state": malformedState,
	} {
		for shard := range 2 {
			if _, ok := shardstate.Decode(shard, snapshot); ok {
				t.Errorf("a snapshot of shard %d that is %s was decoded", shard, name)
			}
		}
	}
}

func BenchmarkPublishedState_Apply(b *testing.B) {
	machine := registry.NewState()
	for number := range largeFleet {
		machine.Apply(putEntry(1, number).Data[1:])
	}
	state := shardstate.Publish(consensus.Membership{}, machine)
	entries := []gossip.Entry{putEntry(1, largeFleet)}
	for b.Loop() {
		if _, applied := state.Apply(entries, largeFleet+1); !applied {
			b.Fatal("the entry was not applied")
		}
	}
}
