package registry_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/registry"
)

// An engine's enrolment, the same once more, its leaving mark and the enrolment of its
// next life are committed in every order: a life that was marked while it stood in the
// list stays marked, whatever it repeats; the next life is not.
func TestDraining_IsPerIncarnation(t *testing.T) {
	first := registry.Engine{Name: "e", Service: "s", Incarnation: "1"}
	second := first
	second.Incarnation = "2"
	steps := []registry.Operation{
		{Kind: registry.OperationRegister, Engine: first}, {Kind: registry.OperationRegister, Engine: first},
		{Kind: registry.OperationDrain, Engine: registry.Engine{Name: "e"}}, {Kind: registry.OperationRegister, Engine: second},
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
				if drainingCount++; !state.Engines["e"].Leaving {
					t.Errorf("order %v: life %s is not leaving any more", order, drainingIncarnation)
				}
			}
		}
	})
	Convey("lives were marked", t, func() { So(drainingCount, ShouldBeGreaterThan, 10) })
}
