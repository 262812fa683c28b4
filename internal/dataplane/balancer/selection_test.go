package balancer_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/state/pairing"
)

func TestPrefillPlacement(t *testing.T) {
	engines := newEngines(
		pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill,
		pairing.RoleDecode, pairing.RoleDecode,
	)
	Convey("all routers prefill a long prompt on the same preferred engine of its shared prefix", t, func() {
		first, _ := newTestBalancer(engines, pairing.Assignment{}).Select(clock.Second, longRequest(1))
		So(first.Split, ShouldBeTrue)
		for number := range 20 {
			lb := balancer.New(testOptions(number))
			lb.Update(clock.Second, balancer.View{Service: testService, Engines: engines, RouterCount: 20})
			selection, _ := lb.Select(clock.Second, longRequest(number))
			So(selection.Prefiller.Incarnation, ShouldEqual, first.Prefiller.Incarnation)
			So(selection.UncachedTokens, ShouldEqual, 2000)
		}
	})
	Convey("a long prefill queue on the preferred engine sends the prompt to another engine", t, func() {
		lb := newTestBalancer(engines, pairing.Assignment{})
		first, _ := lb.Select(clock.Second, longRequest(1))
		lb.AddPromptTokens(first.Prefiller.Incarnation, 0, 100_000)
		second, _ := lb.Select(clock.Second, longRequest(1))
		So(second.Prefiller.Incarnation, ShouldNotEqual, first.Prefiller.Incarnation)
	})
	Convey("requests are spread over equal decoders, so that not all routers choose the same one", t, func() {
		counts := map[string]int{}
		for number := range 100 {
			lb := newTestBalancer(engines, pairing.Assignment{})
			selection, _ := lb.Select(clock.Second, longRequest(number))
			counts[selection.Decoder.Incarnation]++
		}
		So(counts[engineName(3)], ShouldBeGreaterThan, 20)
		So(counts[engineName(4)], ShouldBeGreaterThan, 20)
	})
}

func TestIneligibleEnginesAreNotSelected(t *testing.T) {
	Convey("engines that switch roles, that drain or that are in another affinity group are not selected", t, func() {
		engines := newEngines(
			pairing.RolePrefill, pairing.RolePrefill, pairing.RolePrefill,
			pairing.RoleDecode, pairing.RoleDecode, pairing.RoleDecode,
		)
		engines[0].Draining = true
		groups := map[string]string{
			engineName(1): "a",
			engineName(2): "b",
			engineName(4): "a",
			engineName(5): "b",
		}
		assignment := pairing.Assignment{ChangingRole: []string{engineName(3)}, AffinityGroups: groups}
		for number := range 50 {
			selection, _ := newTestBalancer(engines, assignment).Select(clock.Second, longRequest(number))
			So(selection.Prefiller.Incarnation, ShouldNotEqual, engineName(0))
			So(selection.Decoder.Incarnation, ShouldNotEqual, engineName(3))
			if selection.Split {
				So(groups[selection.Prefiller.Incarnation], ShouldEqual, groups[selection.Decoder.Incarnation])
			}
		}
	})
	Convey("a draining incarnation stays draining, even if a later list shows it as not draining", t, func() {
		engines := newEngines(pairing.RoleBoth)
		engines[0].Draining = true
		lb := newTestBalancer(engines, pairing.Assignment{})
		lb.Update(2*clock.Second, balancer.View{
			Service:     testService,
			Engines:     newEngines(pairing.RoleBoth),
			RouterCount: 1,
		})
		_, ok := lb.Select(2*clock.Second, longRequest(1))
		So(ok, ShouldBeFalse)
	})
}
