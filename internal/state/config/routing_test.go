package config_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// encodedRequestCount counts the requests that encodeRequest has encoded, for their keys.
var encodedRequestCount int

// encodeRequest encodes a request as a log entry with a unique key.
func encodeRequest(request config.Request) []byte {
	encodedRequestCount++
	request.Key = fmt.Sprint("key-", encodedRequestCount)
	return config.Operation{Request: request}.Encode()
}

// applyRequest applies a request with a unique key, without drafting it, and returns the outcome.
func applyRequest(state *config.State, request config.Request) config.Outcome {
	outcome, err := config.DecodeOutcome(state.Apply(encodeRequest(request)))
	if err != nil {
		panic(err)
	}
	return outcome
}

// newRoute returns a valid route to one service.
func newRoute(name, service string) route.Route {
	return route.Route{
		Name:         name,
		Host:         "h",
		Prefix:       "/" + name + "/",
		Kind:         route.KindStream,
		Services:     []route.WeightedService{{Service: service, Weight: 1}},
		TotalTimeout: clock.Second,
	}
}

// newItem returns the item of a route to a service, as an operator sends it.
func newItem(name, service string) config.Item {
	return config.Item{Name: name, Text: fmt.Sprintf(`{"name":%q,"to":%q}`, name, service)}
}

// replaceRoutesRequest returns a request that replaces the routing by services s and t and routes
// with these names to s.
func replaceRoutesRequest(label, parentLabel uint64, names ...string) config.Request {
	routing := &config.Routing{
		Label:       label,
		ParentLabel: parentLabel,
		Digest:      fmt.Sprint("replace", label, parentLabel, names),
		Bounds:      &route.Limits{Body: int(label)},
		Routes:      map[string]route.Route{},
		Services:    map[string]route.Service{"s": {Name: "s"}, "t": {Name: "t"}},
		Items:       map[string][]config.Item{"services": {{"s", "{}"}, {"t", "{}"}}, "routes": nil, "more": {{"m", "1"}}},
		Others:      []config.Item{{"limits", "{}"}, {"x", "[1]"}},
	}
	for _, name := range names {
		routing.Routes[name] = newRoute(name, "s")
		routing.Items["routes"] = append(routing.Items["routes"], newItem(name, "s"))
	}
	return config.Request{Kind: config.OperationReplaceRoutes, Routing: routing}
}

// patchRoutesRequest returns a request that removes some routes and adds or replaces routes with
// these names to a service.
func patchRoutesRequest(label, parentLabel uint64, service string, removed []string, names ...string) config.Request {
	routing := &config.Routing{
		Label:       label,
		ParentLabel: parentLabel,
		Digest:      fmt.Sprint("patch", label, parentLabel, service, removed, names),
		Routes:      map[string]route.Route{},
		Items:       map[string][]config.Item{},
		Remove:      map[string][]string{"routes": removed},
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
		So(applyRequest(state, replaceRoutesRequest(3, 0, "a", "b", "c")), ShouldResemble, config.Outcome{Revision: 1})
		previous := state.View()
		restored := config.NewState()
		restored.Restore(state.Snapshot())
		So(applyRequest(state, patchRoutesRequest(9, 3, "t", []string{"a", "never"}, "d", "b")).Revision, ShouldEqual, 2)
		current := state.View()
		So(current.Label, ShouldEqual, 9)
		So(current.Items["routes"], ShouldResemble, []config.Item{newItem("b", "t"), newItem("c", "s"), newItem("d", "t")})
		So(current.Items["more"], ShouldResemble, []config.Item{{"m", "1"}})
		So(current.Others, ShouldResemble, []config.Item{{"limits", "{}"}, {"x", "[1]"}})
		expectedRoutes := map[string]route.Route{"b": newRoute("b", "t"), "c": newRoute("c", "s"), "d": newRoute("d", "t")}
		So(current.RouteTable.Routes, ShouldResemble, expectedRoutes)
		So(current.RouteTable.Limits.Body, ShouldEqual, 3)
		// The patch must not have modified the view that was taken before it.
		So(previous, ShouldResemble, restored.View())
	})
	Convey("a patch changes limits and services too, and a replacement replaces everything", t, func() {
		state := config.NewState()
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		request := patchRoutesRequest(2, 1, "t", nil)
		request.Routing.Remove = map[string][]string{"services": {"t"}}
		request.Routing.Bounds = &route.Limits{}
		request.Routing.Others = []config.Item{{"limits", "{ }"}}
		So(applyRequest(state, request).Code, ShouldEqual, errcode.OK)
		current := state.View()
		So(current.RouteTable.Limits, ShouldResemble, route.Limits{})
		So(len(current.RouteTable.Services), ShouldEqual, 1)
		So(current.Items["services"], ShouldResemble, []config.Item{{"s", "{}"}})
		So(current.Others, ShouldResemble, []config.Item{{"limits", "{ }"}, {"x", "[1]"}})
		So(applyRequest(state, replaceRoutesRequest(5, 2, "z")).Code, ShouldEqual, errcode.OK)
		So(state.View().Items["routes"], ShouldResemble, []config.Item{newItem("z", "s")})
		So(len(state.View().RouteTable.Routes), ShouldEqual, 1)
	})
}

func TestRouting_RejectionChangesNothing(t *testing.T) {
	mutatedRequest := func(mutate func(*config.Routing)) config.Request {
		request := patchRoutesRequest(9, 3, "t", nil, "b")
		mutate(request.Routing)
		return request
	}
	testCases := map[string]struct {
		request config.Request
		code    errcode.Code
	}{
		"built on an earlier label": {patchRoutesRequest(9, 2, "t", nil, "b"), errcode.RevisionStale},
		"built on a later label":    {patchRoutesRequest(9, 4, "t", nil, "b"), errcode.RevisionStale},
		"a replacement on label 0":  {replaceRoutesRequest(9, 0, "b"), errcode.RevisionStale},
		"the current label":         {patchRoutesRequest(3, 3, "t", nil, "b"), errcode.ConfigurationInvalid},
		"a label below":             {replaceRoutesRequest(2, 3, "b"), errcode.ConfigurationInvalid},
		"an unknown service":        {patchRoutesRequest(9, 3, "u", nil, "b"), errcode.ConfigurationInvalid},
		"a service in use is removed": {mutatedRequest(func(routing *config.Routing) {
			routing.Remove = map[string][]string{"services": {"s"}}
		}), errcode.ConfigurationInvalid},
		"the prefix of another route": {mutatedRequest(func(routing *config.Routing) {
			duplicate := newRoute("b", "s")
			duplicate.Prefix = "/a/"
			routing.Routes["b"] = duplicate
		}), errcode.ConfigurationInvalid},
		"weights of 0": {mutatedRequest(func(routing *config.Routing) {
			routing.Routes["b"].Services[0].Weight = 0
		}), errcode.ConfigurationInvalid},
		"a timeout of 0": {mutatedRequest(func(routing *config.Routing) {
			changed := newRoute("b", "s")
			changed.TotalTimeout = 0
			routing.Routes["b"] = changed
		}), errcode.ConfigurationInvalid},
		"the name of a collection outside the collections": {mutatedRequest(func(routing *config.Routing) {
			routing.Others = []config.Item{{"routes", "1"}}
		}), errcode.ConfigurationInvalid},
		"no routing": {config.Request{Kind: config.OperationReplaceRoutes}, errcode.Malformed},
	}
	for name, testCase := range testCases {
		Convey(name, t, func() {
			state := config.NewState()
			applyRequest(state, replaceRoutesRequest(3, 0, "a", "b"))
			previous := state.View()
			So(applyRequest(state, testCase.request).Code, ShouldEqual, testCase.code)
			So(state.View(), ShouldResemble, previous)
		})
	}
}

// Two patches and a replacement build on the same label, and the first patch is committed twice.
// In every order of the log, exactly one of the three takes effect, and each copy of it is
// acknowledged.
func TestRouting_ConcurrentChangesOnOneLabel(t *testing.T) {
	Convey("in every order", t, func() {
		requests := []config.Request{
			patchRoutesRequest(9, 3, "t", nil, "b"),
			patchRoutesRequest(9, 3, "s", nil, "c"),
			replaceRoutesRequest(11, 3, "z"),
			patchRoutesRequest(9, 3, "t", nil, "b"),
		}
		simulation.Permutations(len(requests), func(order []int) {
			state := config.NewState()
			applyRequest(state, replaceRoutesRequest(3, 0, "a"))
			acknowledgments := map[string]int{}
			for _, index := range order {
				outcome := applyRequest(state, requests[index])
				switch outcome.Code {
				case errcode.OK:
					acknowledgments[requests[index].Routing.Digest]++
				case errcode.RevisionStale:
				default:
					t.Fatalf("order %v: %+v", order, outcome)
				}
			}
			first := requests[order[0]].Routing
			current := state.View()
			expectedAcknowledgments := 1
			if order[0] == 0 || order[0] == 3 {
				expectedAcknowledgments = 2 // The patch that is committed twice.
			}
			isInForce := current.Label == first.Label && current.Revision == 2
			if len(acknowledgments) != 1 || acknowledgments[first.Digest] != expectedAcknowledgments || !isInForce {
				t.Fatalf("order %v: acknowledgments %v, current label %d", order, acknowledgments, current.Label)
			}
		})
	})
}

func TestRouting_RepeatedOperationIsAcknowledged(t *testing.T) {
	Convey("after hundreds of later operations and a restore", t, func() {
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

// A replica that restores an earlier snapshot and replays the log from there must reach the state
// of the leader, whichever snapshot it starts from.
func TestApply_ReplayIsDeterministic(t *testing.T) {
	Convey("from any snapshot", t, func() {
		var log [][]byte
		var states [][]byte
		leader := config.NewState()
		apply := func(request config.Request) {
			entry := encodeRequest(request)
			log = append(log, entry)
			states = append(states, leader.Snapshot())
			leader.Apply(entry)
		}
		apply(replaceRoutesRequest(1, 0, "a", "b"))
		apply(patchRoutesRequest(4, 1, "t", []string{"a"}, "c"))
		apply(patchRoutesRequest(4, 1, "s", []string{"a"}, "d"))
		apply(config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"})
		apply(patchRoutesRequest(6, 4, "u", nil, "x"))
		apply(patchRoutesRequest(7, 4, "t", []string{"b"}, "c", "e"))
		apply(replaceRoutesRequest(20, 7, "y", "z"))
		apply(patchRoutesRequest(21, 20, "t", nil, "z"))
		for from := range log {
			state := config.NewState()
			state.Restore(states[from])
			for _, data := range log[from:] {
				state.Apply(data)
			}
			So(state.View(), ShouldResemble, leader.View())
		}
		So(leader.View().Label, ShouldEqual, 21)
		So(leader.View().Revision, ShouldEqual, 6)
		operation := config.Operation{Request: patchRoutesRequest(22, 21, "t", nil, "z")}
		So(len(operation.Encode()), ShouldBeLessThan, 4096)
	})
}

func TestEvacuation_WithRoutesOnly(t *testing.T) {
	Convey("any zone can be evacuated and returned once there is a routing", t, func() {
		state := config.NewState()
		evacuate := config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"}
		So(applyRequest(state, evacuate).Code, ShouldEqual, errcode.UnknownZone)
		applyRequest(state, replaceRoutesRequest(1, 0, "a"))
		view := state.View()
		_, err := view.Draft(evacuate)
		So(err, ShouldBeNil)
		So(applyRequest(state, evacuate).Code, ShouldEqual, errcode.OK)
		applyRequest(state, replaceRoutesRequest(2, 1, "a"))
		current := state.View()
		So(current.IsEvacuated("sur"), ShouldBeTrue)
		returnZone := config.Request{Kind: config.OperationReturn, AnyRevision: true, Zone: "sur"}
		So(applyRequest(state, returnZone).Code, ShouldEqual, errcode.OK)
		current = state.View()
		So(current.IsEvacuated("sur"), ShouldBeFalse)
	})
}

func TestDraft_RoutingIsIndependentOfCurrentView(t *testing.T) {
	Convey("only an operation that is invalid by itself is rejected", t, func() {
		view := config.NewState().View()
		_, err := view.Draft(patchRoutesRequest(9, 7, "t", nil, "b"))
		So(err, ShouldBeNil)
		_, err = view.Draft(patchRoutesRequest(7, 7, "t", nil, "b"))
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
		_, err = view.Draft(config.Request{Kind: config.OperationPatchRoutes})
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.Malformed)
	})
}
