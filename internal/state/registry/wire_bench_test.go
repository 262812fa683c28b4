package registry_test

import (
	"fmt"
	"testing"

	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// benchEngines is the number of engines in the service shard.
const benchEngines = 1000

// newBenchState returns a state with benchEngines engines and an assignment of all of them.
func newBenchState() *registry.State {
	state := registry.NewState()
	assignment := pairing.Assignment{Service: "s", Roles: map[string]string{}}
	for number := range benchEngines {
		name := fmt.Sprint("engine-", number)
		engine := registry.Engine{Name: name, Service: "s", Address: "127.0.0.1:7220", Incarnation: "1"}
		state.Apply(registry.Operation{Kind: registry.OperationRegister, Engine: engine}.Encode())
		assignment.Roles[name] = pairing.RoleBoth
	}
	state.Apply(registry.Operation{Kind: registry.OperationAssign, Assignment: assignment}.Encode())
	return state
}

func BenchmarkSnapshot(b *testing.B) {
	state := newBenchState()
	for b.Loop() {
		state.Snapshot()
	}
}

func BenchmarkDecodeView(b *testing.B) {
	snapshot := newBenchState().Snapshot()
	for b.Loop() {
		registry.DecodeView(snapshot)
	}
}

func BenchmarkApply(b *testing.B) {
	state := registry.NewState()
	operation := registry.Operation{Kind: registry.OperationDrain, Engine: registry.Engine{Name: "engine"}}.Encode()
	for b.Loop() {
		state.Apply(operation)
	}
}
