package registry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

func newEngine(name string, draining bool) registry.Engine {
	return registry.Engine{
		Name:        name,
		Incarnation: name,
		Service:     "s",
		Zone:        "h",
		Role:        pairing.RoleDecode,
		Slots:       8,
		Weights:     1,
		Draining:    draining,
	}
}

func syncEndpoints(state *registry.State, desired ...registry.Engine) {
	put, drop := state.Diff(desired)
	state.Apply(registry.Operation{Kind: registry.OperationSyncEndpoints, Put: put, Drop: drop}.Encode())
}

func TestEndpointSync_AppliesChanges(t *testing.T) {
	Convey("engines are added, changed and removed; earlier views stay unchanged", t, func() {
		state := registry.NewState()
		syncEndpoints(state, newEngine("a", false), newEngine("b", false))
		previous := state.View
		changed := newEngine("a", false)
		changed.Role, changed.WarmingUp, changed.Weights, changed.Slots = pairing.RolePrefill, true, 2, 4
		syncEndpoints(state, changed, newEngine("c", false))
		So(state.Engines, ShouldResemble, map[string]registry.Engine{"a": changed, "c": newEngine("c", false)})
		original := map[string]registry.Engine{"a": newEngine("a", false), "b": newEngine("b", false)}
		So(previous.Engines, ShouldResemble, original)
		So(state.CurrentRevision(), ShouldEqual, 2)
		So(state.Equal([]registry.Engine{newEngine("c", false), changed}), ShouldBeTrue)
		So(state.Equal([]registry.Engine{changed}), ShouldBeFalse)
	})
	Convey("the difference contains only changed engines, sorted by name", t, func() {
		state := registry.NewState()
		syncEndpoints(state, newEngine("a", false), newEngine("b", false), newEngine("c", false), newEngine("d", false))
		put, drop := state.Diff([]registry.Engine{
			newEngine("f", false), newEngine("e", false), newEngine("b", true), newEngine("c", false),
		})
		So(put, ShouldResemble, []registry.Engine{newEngine("b", true), newEngine("e", false), newEngine("f", false)})
		So(drop, ShouldResemble, []string{"a", "d"})
		put, drop = state.Diff([]registry.Engine{
			newEngine("d", false), newEngine("c", false), newEngine("b", false), newEngine("a", false),
		})
		So(len(put)+len(drop), ShouldEqual, 0)
	})
	Convey("an engine listed on two pages is draining if one of its entries is", t, func() {
		for _, draining := range []bool{true, false} {
			put, _ := registry.NewState().Diff([]registry.Engine{newEngine("a", draining), newEngine("a", !draining)})
			So(put, ShouldResemble, []registry.Engine{newEngine("a", true)})
		}
	})
}

func TestEndpointSync_KeepsDraining(t *testing.T) {
	Convey("neither an outdated list nor a removal resets the draining flag", t, func() {
		state := registry.NewState()
		syncEndpoints(state, newEngine("a", true))
		So(state.Equal([]registry.Engine{newEngine("a", false)}), ShouldBeTrue)
		stale := registry.Operation{Kind: registry.OperationSyncEndpoints, Put: []registry.Engine{newEngine("a", false)}}
		state.Apply(stale.Encode())
		So(state.Engines["a"].Draining, ShouldBeTrue)
		syncEndpoints(state)
		So(state.Engines, ShouldBeEmpty)
		syncEndpoints(state, newEngine("a", false), newEngine("b", false))
		So(state.Engines["a"].Draining, ShouldBeTrue)
		So(state.Engines["b"].Draining, ShouldBeFalse)
	})
	Convey("the number of remembered incarnations is bounded", t, func() {
		state := registry.NewState()
		for number := range 1000 {
			syncEndpoints(state, newEngine(fmt.Sprint(number), true))
		}
		So(len(state.Drained), ShouldEqual, 128)
		So(state.Drained[127], ShouldEqual, "998")
	})
}

// randomEndpoints returns a random list of up to eight engines. Each of the eight engines is listed
// with probability 3/4, and a listed engine is draining with probability 1/4.
func randomEndpoints(random *rand.Rand) []registry.Engine {
	var endpoints []registry.Engine
	for number := range 8 {
		if random.IntN(4) > 0 {
			endpoints = append(endpoints, newEngine(fmt.Sprint(number), random.IntN(4) == 0))
		}
	}
	return endpoints
}

// drainHistory records the names of the engines that have been draining.
type drainHistory map[string]bool

// requireStillDraining fails the test if an engine that has been draining is no longer draining.
func (d drainHistory) requireStillDraining(t *testing.T, state *registry.State) {
	t.Helper()
	for name, engine := range state.Engines {
		d[name] = d[name] || engine.Draining
		if d[name] != engine.Draining {
			t.Fatalf("engine %s is no longer draining", name)
		}
	}
}

// The operations for random endpoint lists are applied to one state, replayed on a second one, and
// applied to a third one that is restored from a snapshot midway. All three states must end equal.
func TestEndpointSync_ReplayIsDeterministic(t *testing.T) {
	const steps, snapshotStep = 40, 20
	random := rand.New(rand.NewPCG(1, 2))
	for run := range 50 {
		original, restored := registry.NewState(), registry.NewState()
		var log [][]byte
		history := drainHistory{}
		for step := range steps {
			desired := randomEndpoints(random)
			put, drop := original.Diff(desired)
			data := registry.Operation{Kind: registry.OperationSyncEndpoints, Put: put, Drop: drop}.Encode()
			log = append(log, data)
			original.Apply(data)
			if step == snapshotStep {
				restored.Restore(original.Snapshot())
			} else if step > snapshotStep {
				restored.Apply(data)
			}
			history.requireStillDraining(t, original)
			if !original.Equal(desired) {
				t.Fatalf("run %d, step %d: the state does not match the desired list", run, step)
			}
		}
		replayed := registry.NewState()
		for _, data := range log {
			replayed.Apply(data)
		}
		if fmt.Sprint(original.View) != fmt.Sprint(replayed.View) || fmt.Sprint(original.View) != fmt.Sprint(restored.View) {
			t.Fatalf("run %d: the states differ: original %v, replayed %v, restored %v",
				run, original.View, replayed.View, restored.View)
		}
	}
}
