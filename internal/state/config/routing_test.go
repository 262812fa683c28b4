package configuration_test

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

var drafts int

// sent is a request as the log takes it, under a key of its own.
func sent(request configuration.Request) []byte {
	drafts++
	request.Key = fmt.Sprint("key-", drafts)
	return configuration.Encode(configuration.Operation{Request: request})
}

func applied(state *configuration.State, request configuration.Request) configuration.Outcome {
	var outcome configuration.Outcome
	if err := gob.NewDecoder(bytes.NewReader(state.Apply(sent(request)))).Decode(&outcome); err != nil {
		panic(err)
	}
	return outcome
}

func line(name, service string) route.Route {
	return route.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.Stream, Shares: []route.Share{{Service: service, Weight: 1}}, GiveUp: schedule.Second}
}

func text(name, service string) configuration.Item {
	return configuration.Item{Name: name, Text: fmt.Sprintf(`{"name":%q,"to":%q}`, name, service)}
}

func whole(label, on uint64, names ...string) configuration.Request {
	routing := &configuration.Routing{
		Label: label, On: on, Digest: fmt.Sprint("whole", label, on, names), Bounds: &route.Bounds{Body: int(label)},
		Routes: map[string]route.Route{}, Services: map[string]route.Service{"s": {Name: "s"}, "t": {Name: "t"}},
		Items:  map[string][]configuration.Item{"services": {{"s", "{}"}, {"t", "{}"}}, "routes": nil, "more": {{"m", "1"}}},
		Others: []configuration.Item{{"limits", "{}"}, {"x", "[1]"}},
	}
	for _, name := range names {
		routing.Routes[name] = line(name, "s")
		routing.Items["routes"] = append(routing.Items["routes"], text(name, "s"))
	}
	return configuration.Request{Kind: configuration.Routes, Routing: routing}
}

func change(label, on uint64, service string, removed []string, names ...string) configuration.Request {
	routing := &configuration.Routing{
		Label: label, On: on, Digest: fmt.Sprint("change", label, on, service, removed, names),
		Routes: map[string]route.Route{}, Items: map[string][]configuration.Item{}, Remove: map[string][]string{"routes": removed},
	}
	for _, name := range names {
		routing.Routes[name] = line(name, service)
		routing.Items["routes"] = append(routing.Items["routes"], text(name, service))
	}
	return configuration.Request{Kind: configuration.RoutesChange, Routing: routing}
}

func TestRoutesAreReadBackAsSent(test *testing.T) {
	Convey("items are replaced in place, appended and removed; the rest is kept", test, func() {
		state := configuration.NewState()
		So(applied(state, whole(3, 0, "a", "b", "c")), ShouldResemble, configuration.Outcome{Sequence: 1})
		before := state.View()
		copied := configuration.NewState()
		copied.Restore(state.Snapshot())
		So(applied(state, change(9, 3, "t", []string{"a", "never"}, "d", "b")).Sequence, ShouldEqual, 2)
		now := state.View()
		So(now.Label, ShouldEqual, 9)
		So(now.Items["routes"], ShouldResemble, []configuration.Item{text("b", "t"), text("c", "s"), text("d", "t")})
		So(now.Items["more"], ShouldResemble, []configuration.Item{{"m", "1"}})
		So(now.Others, ShouldResemble, []configuration.Item{{"limits", "{}"}, {"x", "[1]"}})
		So(now.Book.Routes, ShouldResemble, map[string]route.Route{"b": line("b", "t"), "c": line("c", "s"), "d": line("d", "t")})
		So(now.Book.Bounds.Body, ShouldEqual, 3)
		// What was in force before is as it was.
		So(before, ShouldResemble, copied.View())
	})
	Convey("bounds and services change too, and a whole configuration replaces all", test, func() {
		state := configuration.NewState()
		applied(state, whole(1, 0, "a"))
		request := change(2, 1, "t", nil)
		request.Routing.Remove = map[string][]string{"services": {"t"}}
		request.Routing.Bounds = &route.Bounds{}
		request.Routing.Others = []configuration.Item{{"limits", "{ }"}}
		So(applied(state, request).Code, ShouldEqual, mishap.Fine)
		now := state.View()
		So(now.Book.Bounds, ShouldResemble, route.Bounds{})
		So(len(now.Book.Services), ShouldEqual, 1)
		So(now.Items["services"], ShouldResemble, []configuration.Item{{"s", "{}"}})
		So(now.Others, ShouldResemble, []configuration.Item{{"limits", "{ }"}, {"x", "[1]"}})
		So(applied(state, whole(5, 2, "z")).Code, ShouldEqual, mishap.Fine)
		So(state.View().Items["routes"], ShouldResemble, []configuration.Item{text("z", "s")})
		So(len(state.View().Book.Routes), ShouldEqual, 1)
	})
}

func TestDeclinedRoutesLeaveAllAsItWas(test *testing.T) {
	spoiled := func(spoil func(*configuration.Routing)) configuration.Request {
		request := change(9, 3, "t", nil, "b")
		spoil(request.Routing)
		return request
	}
	bad := map[string]struct {
		request configuration.Request
		code    mishap.Code
	}{
		"built on an earlier label":   {change(9, 2, "t", nil, "b"), mishap.SequenceStale},
		"built on a later label":      {change(9, 4, "t", nil, "b"), mishap.SequenceStale},
		"a whole one on nothing":      {whole(9, 0, "b"), mishap.SequenceStale},
		"the label in force":          {change(3, 3, "t", nil, "b"), mishap.ConfigurationInvalid},
		"a label below":               {whole(2, 3, "b"), mishap.ConfigurationInvalid},
		"an unknown service":          {change(9, 3, "u", nil, "b"), mishap.ConfigurationInvalid},
		"a service in use is removed": {spoiled(func(each *configuration.Routing) { each.Remove = map[string][]string{"services": {"s"}} }), mishap.ConfigurationInvalid},
		"the place of another": {spoiled(func(each *configuration.Routing) {
			same := line("b", "s")
			same.Prefix = "/a/"
			each.Routes["b"] = same
		}), mishap.ConfigurationInvalid},
		"weights of 0": {spoiled(func(each *configuration.Routing) { each.Routes["b"].Shares[0].Weight = 0 }), mishap.ConfigurationInvalid},
		"given up at once": {spoiled(func(each *configuration.Routing) {
			same := line("b", "s")
			same.GiveUp = 0
			each.Routes["b"] = same
		}), mishap.ConfigurationInvalid},
		"a list that is none": {spoiled(func(each *configuration.Routing) { each.Others = []configuration.Item{{"routes", "1"}} }), mishap.ConfigurationInvalid},
		"no routing":          {configuration.Request{Kind: configuration.Routes}, mishap.Malformed},
	}
	for name, each := range bad {
		Convey(name, test, func() {
			state := configuration.NewState()
			applied(state, whole(3, 0, "a", "b"))
			before := state.View()
			So(applied(state, each.request).Code, ShouldEqual, each.code)
			So(state.View(), ShouldResemble, before)
		})
	}
}

// Two changes and a whole configuration on one label, one of them sent twice, in every
// order: one wins, and whoever sent it hears so each time.
func TestOneOfARaceOnOneLabelWins(test *testing.T) {
	Convey("in every order", test, func() {
		requests := []configuration.Request{change(9, 3, "t", nil, "b"), change(9, 3, "s", nil, "c"), whole(11, 3, "z"), change(9, 3, "t", nil, "b")}
		simulation.Orders(len(requests), func(order []int) {
			state := configuration.NewState()
			applied(state, whole(3, 0, "a"))
			won := map[string]int{}
			for _, place := range order {
				outcome := applied(state, requests[place])
				if digest := requests[place].Routing.Digest; outcome.Code == mishap.Fine {
					won[digest]++
				} else if outcome.Code != mishap.SequenceStale {
					test.Fatalf("order %v: %+v", order, outcome)
				}
			}
			first := requests[order[0]].Routing
			now := state.View()
			if len(won) != 1 || won[first.Digest] != map[bool]int{true: 2, false: 1}[order[0] == 0 || order[0] == 3] || now.Label != first.Label || now.Sequence != 2 {
				test.Fatalf("order %v: won %v, in force %d", order, won, now.Label)
			}
		})
	})
}

func TestARepetitionIsToldAsTaken(test *testing.T) {
	Convey("after hundreds of later configurations and a restart", test, func() {
		state := configuration.NewState()
		label := uint64(0)
		const changes = 600
		for range changes {
			outcome := applied(state, whole(label+2, label, "a"))
			if outcome.Code != mishap.Fine {
				test.Fatalf("label %d: %+v", label+2, outcome)
			}
			label += 2
		}
		restored := configuration.NewState()
		restored.Restore(state.Snapshot())
		before := restored.View()
		So(applied(restored, whole(label, label-2, "a")).Code, ShouldEqual, mishap.Fine)
		So(applied(restored, whole(2, 0, "a")).Code, ShouldEqual, mishap.Fine)
		So(applied(restored, whole(label-2*300, label-2*301, "a")).Code, ShouldEqual, mishap.Fine)
		So(applied(restored, whole(label-2*300, label-2*300-1, "a")).Code, ShouldEqual, mishap.SequenceStale)
		So(applied(restored, whole(label-2, label-4, "b")).Code, ShouldEqual, mishap.SequenceStale)
		So(restored.View(), ShouldResemble, before)
	})
}

// What travels are operations: whoever replays them on an earlier state ends where the
// others are.
func TestReplayedChangesMakeTheSameState(test *testing.T) {
	Convey("from any state on", test, func() {
		var log [][]byte
		var states [][]byte
		leading := configuration.NewState()
		step := func(request configuration.Request) {
			log, states = append(log, sent(request)), append(states, leading.Snapshot())
			leading.Apply(log[len(log)-1])
		}
		step(whole(1, 0, "a", "b"))
		step(change(4, 1, "t", []string{"a"}, "c"))
		step(change(4, 1, "s", []string{"a"}, "d"))
		step(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"})
		step(change(6, 4, "u", nil, "x"))
		step(change(7, 4, "t", []string{"b"}, "c", "e"))
		step(whole(20, 7, "y", "z"))
		step(change(21, 20, "t", nil, "z"))
		for from := range log {
			state := configuration.NewState()
			state.Restore(states[from])
			for _, data := range log[from:] {
				state.Apply(data)
			}
			So(state.View(), ShouldResemble, leading.View())
		}
		So(leading.View().Label, ShouldEqual, 21)
		So(leading.View().Sequence, ShouldEqual, 6)
		So(len(configuration.Encode(configuration.Operation{Request: change(22, 21, "t", nil, "z")})), ShouldBeLessThan, 4096)
	})
}

func TestHallsAreEvacuatedWhereRoutesAreInForce(test *testing.T) {
	Convey("any hall, and it can be taken back", test, func() {
		state := configuration.NewState()
		evacuate := configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"}
		So(applied(state, evacuate).Code, ShouldEqual, mishap.UnknownHall)
		applied(state, whole(1, 0, "a"))
		view := state.View()
		_, err := view.Draft(evacuate)
		So(err, ShouldBeNil)
		So(applied(state, evacuate).Code, ShouldEqual, mishap.Fine)
		applied(state, whole(2, 1, "a"))
		now := state.View()
		So(now.Gone("sur"), ShouldBeTrue)
		So(applied(state, configuration.Request{Kind: configuration.Return, Whichever: true, Hall: "sur"}).Code, ShouldEqual, mishap.Fine)
		now = state.View()
		So(now.Gone("sur"), ShouldBeFalse)
	})
}

func TestRoutesAreDraftedWithoutWhatIsInForce(test *testing.T) {
	Convey("only what is wrong by itself is declined", test, func() {
		view := configuration.NewState().View()
		_, err := view.Draft(change(9, 7, "t", nil, "b"))
		So(err, ShouldBeNil)
		_, err = view.Draft(change(7, 7, "t", nil, "b"))
		So(mishap.CodeOf(err, 0), ShouldEqual, mishap.ConfigurationInvalid)
		_, err = view.Draft(configuration.Request{Kind: configuration.RoutesChange})
		So(mishap.CodeOf(err, 0), ShouldEqual, mishap.Malformed)
	})
}
