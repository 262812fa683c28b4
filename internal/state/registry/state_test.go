package registry_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/registry"
)

// The registration of an engine, a retry of it, the drain and the registration of the next
// incarnation are committed in every order: an incarnation that was drained while it was
// registered stays draining, whatever it retries; the next incarnation does not drain.
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
					t.Errorf("order %v: incarnation %s is not draining any more", order, drainingIncarnation)
				}
			}
		}
	})
	Convey("incarnations were drained", t, func() { So(drainingCount, ShouldBeGreaterThan, 10) })
}
