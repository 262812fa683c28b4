package config_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

var encodedRequests int

// encodeRequest is a request as the log takes it, under a key of its own.
func encodeRequest(request config.Request) []byte {
	encodedRequests++
	request.Key = fmt.Sprint("key-", encodedRequests)
	return config.Encode(config.Operation{Request: request})
}

func applyRequest(state *config.State, request config.Request) config.Outcome {
	var outcome config.Outcome
	if err := gob.NewDecoder(bytes.NewReader(state.Apply(encodeRequest(request)))).Decode(&outcome); err != nil {
		panic(err)
	}
	return outcome
}

func newRoute(name, service string) route.Route {
	return route.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.KindStream, Shares: []route.WeightedService{{Service: service, Weight: 1}}, GiveUp: clock.Second}
}

func newItem(name, service string) config.Item {
	return config.Item{Name: name, Text: fmt.Sprintf(`{"name":%q,"to":%q}`, name, service)}
}

func replaceRoutesRequest(label, parentLabel uint64, names ...string) config.Request {
	routing := &config.Routing{
		Label: label, On: parentLabel, Digest: fmt.Sprint("whole", label, parentLabel, names), Bounds: &route.Limits{Body: int(label)},
		Routes: map[string]route.Route{}, Services: map[string]route.Service{"s": {Name: "s"}, "t": {Name: "t"}},
		Items:  map[string][]config.Item{"services": {{"s", "{}"}, {"t", "{}"}}, "routes": nil, "more": {{"m", "1"}}},
		Others: []config.Item{{"limits", "{}"}, {"x", "[1]"}},
	}
	for _, name := range names {
		routing.Routes[name] = newRoute(name, "s")
		routing.Items["routes"] = append(routing.Items["routes"], newItem(name, "s"))
	}
	return config.Request{Kind: config.OperationReplaceRoutes, Routing: routing}
}

func change(label, parentLabel uint64, service string, removed []string, names ...string) config.Request {
	routing := &config.Routing{
		Label: label, On: parentLabel, Digest: fmt.Sprint("change", label, parentLabel, service, removed, names),
		Routes: map[string]route.Route{}, Items: map[string][]config.Item{}, Remove: map[string][]string{"routes": removed},
	}
	for _, name := range names {
		routing.Routes[name] = newRoute(name, service)
		routing.Items["routes"] = append(routing.Items["routes"], newItem(name, service))
	}
	return config.Request{Kind: config.OperationPatchRoutes, Routing: routing}
}

func TestRouting_ItemsAreReadBackAsSent(t *testing.T) {
	Convey("items are replaced in place, appended and removed; the rest is kept", t, func() {
		state := config.NewState()
		So(applyRequest(state, replaceRoutesRequest(3, 0, "a", "b", "c")), ShouldResemble, config.Outcome{Sequence: 1})
		previous := state.View()
		restored := config.NewState()
		restored.Restore(state.Snapshot())
		So(applyRequest(state, change(9, 3, "t", []string{"a", "never"}, "d", "b")).Sequence, ShouldEqual, 2)
		current := state.View()
		So(current.Label, ShouldEqual, 9)
		So(current.Items["routes"], ShouldResemble, []config.Item{newItem("b", "t"), newItem("c", "s"), newItem("d", "t")})
		So(current.Items["more"], ShouldResemble, []config.Item{{"m", "1"}})
		So(current.Others, ShouldResemble, []config.Item{{"limits", "{}"}, {"x", "[1]"}})
		So(current.Book.Routes, ShouldResemble, map[string]route.Route{"b": newRoute("b", "t"), "c": newRoute("c", "s"), "d": newRoute("d", "t")})
		So(current.Book.Bounds.Body, ShouldEqual, 3)
		// What was in force before is as it was.
		So(previous, ShouldResemble, restored.View())
	})
	Convey("bounds and services change too, and a whole configuration replaces all", t, func() {
		state := config.NewState()
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		request := change(2, 1, "t", nil)
		request.Routing.Remove = map[string][]string{"services": {"t"}}
		request.Routing.Bounds = &route.Limits{}
		request.Routing.Others = []config.Item{{"limits", "{ }"}}
		So(applyRequest(state, request).Code, ShouldEqual, errcode.OK)
		current := state.View()
		So(current.Book.Bounds, ShouldResemble, route.Limits{})
		So(len(current.Book.Services), ShouldEqual, 1)
		So(current.Items["services"], ShouldResemble, []config.Item{{"s", "{}"}})
		So(current.Others, ShouldResemble, []config.Item{{"limits", "{ }"}, {"x", "[1]"}})
		So(applyRequest(state, replaceRoutesRequest(5, 2, "z")).Code, ShouldEqual, errcode.OK)
		So(state.View().Items["routes"], ShouldResemble, []config.Item{newItem("z", "s")})
		So(len(state.View().Book.Routes), ShouldEqual, 1)
	})
}

func TestRouting_RejectionChangesNothing(t *testing.T) {
	mutatedRequest := func(mutate func(*config.Routing)) config.Request {
		request := change(9, 3, "t", nil, "b")
		mutate(request.Routing)
		return request
	}
	testCases := map[string]struct {
		request config.Request
		code    errcode.Code
	}{
		"built on an earlier label":   {change(9, 2, "t", nil, "b"), errcode.RevisionStale},
		"built on a later label":      {change(9, 4, "t", nil, "b"), errcode.RevisionStale},
		"a whole one on nothing":      {replaceRoutesRequest(9, 0, "b"), errcode.RevisionStale},
		"the label in force":          {change(3, 3, "t", nil, "b"), errcode.ConfigurationInvalid},
		"a label below":               {replaceRoutesRequest(2, 3, "b"), errcode.ConfigurationInvalid},
		"an unknown service":          {change(9, 3, "u", nil, "b"), errcode.ConfigurationInvalid},
		"a service in use is removed": {mutatedRequest(func(subject *config.Routing) { subject.Remove = map[string][]string{"services": {"s"}} }), errcode.ConfigurationInvalid},
		"the place of another": {mutatedRequest(func(subject *config.Routing) {
			duplicate := newRoute("b", "s")
			duplicate.Prefix = "/a/"
			subject.Routes["b"] = duplicate
		}), errcode.ConfigurationInvalid},
		"weights of 0": {mutatedRequest(func(subject *config.Routing) { subject.Routes["b"].Shares[0].Weight = 0 }), errcode.ConfigurationInvalid},
		"given up at once": {mutatedRequest(func(subject *config.Routing) {
			duplicate := newRoute("b", "s")
			duplicate.GiveUp = 0
			subject.Routes["b"] = duplicate
		}), errcode.ConfigurationInvalid},
		"a list that is none": {mutatedRequest(func(subject *config.Routing) { subject.Others = []config.Item{{"routes", "1"}} }), errcode.ConfigurationInvalid},
		"no routing":          {config.Request{Kind: config.OperationReplaceRoutes}, errcode.Malformed},
	}
	for name, subject := range testCases {
		Convey(name, t, func() {
			state := config.NewState()
			applyRequest(state, replaceRoutesRequest(3, 0, "a", "b"))
			previous := state.View()
			So(applyRequest(state, subject.request).Code, ShouldEqual, subject.code)
			So(state.View(), ShouldResemble, previous)
		})
	}
}

// Two changes and a whole configuration on one label, one of them sent twice, in every
// order: one wins, and whoever sent it hears so each time.
func TestRouting_ConcurrentChangesOnOneLabel(t *testing.T) {
	Convey("in every order", t, func() {
		requests := []config.Request{change(9, 3, "t", nil, "b"), change(9, 3, "s", nil, "c"), replaceRoutesRequest(11, 3, "z"), change(9, 3, "t", nil, "b")}
		simulation.Permutations(len(requests), func(order []int) {
			state := config.NewState()
			applyRequest(state, replaceRoutesRequest(3, 0, "a"))
			won := map[string]int{}
			for _, index := range order {
				outcome := applyRequest(state, requests[index])
				if digest := requests[index].Routing.Digest; outcome.Code == errcode.OK {
					won[digest]++
				} else if outcome.Code != errcode.RevisionStale {
					t.Fatalf("order %v: %+v", order, outcome)
				}
			}
			first := requests[order[0]].Routing
			current := state.View()
			if len(won) != 1 || won[first.Digest] != map[bool]int{true: 2, false: 1}[order[0] == 0 || order[0] == 3] || current.Label != first.Label || current.Sequence != 2 {
				t.Fatalf("order %v: won %v, in force %d", order, won, current.Label)
			}
		})
	})
}

func TestRouting_RepeatedOperationIsAcknowledged(t *testing.T) {
	Convey("after hundreds of later configurations and a restart", t, func() {
		state := config.NewState()
		label := uint64(0)
		const changes = 600
		for range changes {
			outcome := applyRequest(state, replaceRoutesRequest(label+2, label, "a"))
			if outcome.Code != errcode.OK {
				t.Fatalf("label %d: %+v", label+2, outcome)
			}
			label += 2
		}
		restored := config.NewState()
		restored.Restore(state.Snapshot())
		previous := restored.View()
		So(applyRequest(restored, replaceRoutesRequest(label, label-2, "a")).Code, ShouldEqual, errcode.OK)
		So(applyRequest(restored, replaceRoutesRequest(2, 0, "a")).Code, ShouldEqual, errcode.OK)
		So(applyRequest(restored, replaceRoutesRequest(label-2*300, label-2*301, "a")).Code, ShouldEqual, errcode.OK)
		So(applyRequest(restored, replaceRoutesRequest(label-2*300, label-2*300-1, "a")).Code, ShouldEqual, errcode.RevisionStale)
		So(applyRequest(restored, replaceRoutesRequest(label-2, label-4, "b")).Code, ShouldEqual, errcode.RevisionStale)
		So(restored.View(), ShouldResemble, previous)
	})
}

// What travels are operations: whoever replays them on an earlier state ends where the
// others are.
func TestApply_ReplayIsDeterministic(t *testing.T) {
	Convey("from any state on", t, func() {
		var log [][]byte
		var states [][]byte
		leader := config.NewState()
		apply := func(request config.Request) {
			log, states = append(log, encodeRequest(request)), append(states, leader.Snapshot())
			leader.Apply(log[len(log)-1])
		}
		apply(replaceRoutesRequest(1, 0, "a", "b"))
		apply(change(4, 1, "t", []string{"a"}, "c"))
		apply(change(4, 1, "s", []string{"a"}, "d"))
		apply(config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: "sur"})
		apply(change(6, 4, "u", nil, "x"))
		apply(change(7, 4, "t", []string{"b"}, "c", "e"))
		apply(replaceRoutesRequest(20, 7, "y", "z"))
		apply(change(21, 20, "t", nil, "z"))
		for from := range log {
			state := config.NewState()
			state.Restore(states[from])
			for _, data := range log[from:] {
				state.Apply(data)
			}
			So(state.View(), ShouldResemble, leader.View())
		}
		So(leader.View().Label, ShouldEqual, 21)
		So(leader.View().Sequence, ShouldEqual, 6)
		So(len(config.Encode(config.Operation{Request: change(22, 21, "t", nil, "z")})), ShouldBeLessThan, 4096)
	})
}

func TestEvacuation_WithRoutesOnly(t *testing.T) {
	Convey("any hall, and it can be taken back", t, func() {
		state := config.NewState()
		evacuate := config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: "sur"}
		So(applyRequest(state, evacuate).Code, ShouldEqual, errcode.UnknownZone)
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		view := state.View()
		_, err := view.Draft(evacuate)
		So(err, ShouldBeNil)
		So(applyRequest(state, evacuate).Code, ShouldEqual, errcode.OK)
		applyRequest(state, replaceRoutesRequest(2, 1, "a"))
		current := state.View()
		So(current.IsEvacuated("sur"), ShouldBeTrue)
		So(applyRequest(state, config.Request{Kind: config.OperationReturn, Whichever: true, Hall: "sur"}).Code, ShouldEqual, errcode.OK)
		current = state.View()
		So(current.IsEvacuated("sur"), ShouldBeFalse)
	})
}

func TestDraft_RoutingIsIndependentOfCurrentView(t *testing.T) {
	Convey("only what is wrong by itself is declined", t, func() {
		view := config.NewState().View()
		_, err := view.Draft(change(9, 7, "t", nil, "b"))
		So(err, ShouldBeNil)
		_, err = view.Draft(change(7, 7, "t", nil, "b"))
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
		_, err = view.Draft(config.Request{Kind: config.OperationPatchRoutes})
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.Malformed)
	})
}
