package catalogue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func life(name string, leaving bool) catalogue.Engine {
	return catalogue.Engine{Name: name, Incarnation: name, Service: "s", Hall: "h", Part: contract.Decode, Slots: 8, Weights: 1, Leaving: leaving}
}

func mirror(state *catalogue.State, wanted ...catalogue.Engine) {
	put, drop := state.Toward(wanted)
	state.Apply(catalogue.Operation{Kind: catalogue.Mirror, Put: put, Drop: drop}.Encode())
}

func TestAMirroredListIsFollowed(test *testing.T) {
	Convey("lives come, change and go; earlier views stay as they are", test, func() {
		state := catalogue.NewState()
		mirror(state, life("a", false), life("b", false))
		before := state.View
		changed := life("a", false)
		changed.Part, changed.Cold, changed.Weights, changed.Slots = contract.Prefill, true, 2, 4
		mirror(state, changed, life("c", false))
		So(state.Engines, ShouldResemble, map[string]catalogue.Engine{"a": changed, "c": life("c", false)})
		So(before.Engines, ShouldResemble, map[string]catalogue.Engine{"a": life("a", false), "b": life("b", false)})
		So(state.Number(), ShouldEqual, 2)
		So(state.Equal([]catalogue.Engine{life("c", false), changed}), ShouldBeTrue)
		So(state.Equal([]catalogue.Engine{changed}), ShouldBeFalse)
	})
	Convey("the change is only what differs, in the order of the names", test, func() {
		state := catalogue.NewState()
		mirror(state, life("a", false), life("b", false), life("c", false), life("d", false))
		put, drop := state.Toward([]catalogue.Engine{life("f", false), life("e", false), life("b", true), life("c", false)})
		So(put, ShouldResemble, []catalogue.Engine{life("b", true), life("e", false), life("f", false)})
		So(drop, ShouldResemble, []string{"a", "d"})
		put, drop = state.Toward([]catalogue.Engine{life("d", false), life("c", false), life("b", false), life("a", false)})
		So(len(put)+len(drop), ShouldEqual, 0)
	})
	Convey("an engine listed on two pages is leaving if one says so", test, func() {
		for _, leaving := range []bool{true, false} {
			put, _ := catalogue.NewState().Toward([]catalogue.Engine{life("a", leaving), life("a", !leaving)})
			So(put, ShouldResemble, []catalogue.Engine{life("a", true)})
		}
	})
}

func TestAMirroredLifeStaysLeaving(test *testing.T) {
	Convey("an old list does not take the mark away, nor does a drop", test, func() {
		state := catalogue.NewState()
		mirror(state, life("a", true))
		So(state.Equal([]catalogue.Engine{life("a", false)}), ShouldBeTrue)
		stale := catalogue.Operation{Kind: catalogue.Mirror, Put: []catalogue.Engine{life("a", false)}}
		state.Apply(stale.Encode())
		So(state.Engines["a"].Leaving, ShouldBeTrue)
		mirror(state)
		So(state.Engines, ShouldBeEmpty)
		mirror(state, life("a", false), life("b", false))
		So(state.Engines["a"].Leaving, ShouldBeTrue)
		So(state.Engines["b"].Leaving, ShouldBeFalse)
	})
	Convey("the lives that are remembered are bounded", test, func() {
		state := catalogue.NewState()
		for number := range 1000 {
			mirror(state, life(fmt.Sprint(number), true))
		}
		So(len(state.Left), ShouldEqual, 128)
		So(state.Left[127], ShouldEqual, "998")
	})
}

// Random lists are followed by one state, by a second that replays all steps, and by a
// third that is restored from a snapshot midway: all three end the same.
func TestMirrorsReplayTheSame(test *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	for run := range 50 {
		first, third := catalogue.NewState(), catalogue.NewState()
		var steps [][]byte
		marked := map[string]bool{}
		for step := range 40 {
			var wanted []catalogue.Engine
			for number := range 8 {
				if chance.IntN(4) > 0 {
					wanted = append(wanted, life(fmt.Sprint(number), chance.IntN(4) == 0))
				}
			}
			put, drop := first.Toward(wanted)
			data := catalogue.Operation{Kind: catalogue.Mirror, Put: put, Drop: drop}.Encode()
			steps = append(steps, data)
			first.Apply(data)
			if step == 20 {
				third.Restore(first.Snapshot())
			} else if step > 20 {
				third.Apply(data)
			}
			for name, engine := range first.Engines {
				if marked[name] = marked[name] || engine.Leaving; marked[name] != engine.Leaving {
					test.Fatalf("run %d step %d: %s is not leaving any more", run, step, name)
				}
			}
			if !first.Equal(wanted) {
				test.Fatalf("run %d step %d: the list was not reached", run, step)
			}
		}
		second := catalogue.NewState()
		for _, data := range steps {
			second.Apply(data)
		}
		if fmt.Sprint(first.View) != fmt.Sprint(second.View) || fmt.Sprint(first.View) != fmt.Sprint(third.View) {
			test.Fatalf("run %d: %v, %v, %v", run, first.View, second.View, third.View)
		}
	}
}
