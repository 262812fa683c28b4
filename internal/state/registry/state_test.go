package catalogue_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/registry"
)

// An engine's enrolment, the same once more, its leaving mark and the enrolment of its
// next life are committed in every order: a life that was marked while it stood in the
// list stays marked, whatever it repeats; the next life is not.
func TestLeavingIsOfALife(test *testing.T) {
	first := catalogue.Engine{Name: "e", Service: "s", Incarnation: "1"}
	second := first
	second.Incarnation = "2"
	steps := []catalogue.Operation{
		{Kind: catalogue.Enrol, Engine: first}, {Kind: catalogue.Enrol, Engine: first},
		{Kind: catalogue.Leave, Engine: catalogue.Engine{Name: "e"}}, {Kind: catalogue.Enrol, Engine: second},
	}
	marked := 0
	simulation.Orders(len(steps), func(order []int) {
		state, leaving := catalogue.NewState(), ""
		for _, place := range order {
			before := state.Engines["e"].Incarnation
			state.Apply(steps[place].Encode())
			if place == 2 {
				leaving = before
			}
			if leaving != "" && state.Engines["e"].Incarnation == leaving {
				if marked++; !state.Engines["e"].Leaving {
					test.Errorf("order %v: life %s is not leaving any more", order, leaving)
				}
			}
		}
	})
	Convey("lives were marked", test, func() { So(marked, ShouldBeGreaterThan, 10) })
}
