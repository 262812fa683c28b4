package registry_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/registry"
)

// The registration of an engine, a retry of this registration, the drain and the registration of
// the next incarnation are committed in every order. An incarnation that was drained while it was
// registered must stay draining when it retries its registration. The next incarnation isn't
// draining, which this test does not check.
func TestDraining_IsPerIncarnation(t *testing.T) {
	first := registry.Engine{Name: "e", Service: "s", Incarnation: "1"}
	second := first
	second.Incarnation = "2"
	steps := []registry.Operation{
		{Kind: registry.OperationRegister, Engine: first},
		{Kind: registry.OperationRegister, Engine: first},
		{Kind: registry.OperationDrain, Engine: registry.Engine{Name: "e"}},
		{Kind: registry.OperationRegister, Engine: second},
	}
	drainingCount := 0
	simulation.Permutations(len(steps), func(order []int) {
		state, drainingIncarnation := registry.NewState(), ""
		for _, index := range order {
			previous := state.Engines["e"].Incarnation
			state.Apply(steps[index].Encode())
			if index == 2 {
				drainingIncarnation = previous
			}
			if drainingIncarnation != "" && state.Engines["e"].Incarnation == drainingIncarnation {
				drainingCount++
				if !state.Engines["e"].Draining {
					t.Errorf("order %v: incarnation %s is no longer draining", order, drainingIncarnation)
				}
			}
		}
	})
	Convey("enough orders contained a drained incarnation", t, func() { So(drainingCount, ShouldBeGreaterThan, 10) })
}
