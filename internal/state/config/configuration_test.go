package configuration_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
)

func example(name string) string {
	text, err := os.ReadFile("../../../examples/" + name + ".cue")
	So(err, ShouldBeNil)
	return string(text)
}

func TestExamplesExpand(test *testing.T) {
	Convey("both deployments' examples expand, and parameters reach the templates", test, func() {
		plan, err := configuration.Expand(example("asociacion"), nil)
		So(err, ShouldBeNil)
		template, err := plan.Template("asociacion", "waiver")
		So(err, ShouldBeNil)
		So(template.StartMilliseconds, ShouldEqual, 500)
		So(template.AbandonMilliseconds, ShouldEqual, 3000)
		So(template.OneShot(), ShouldBeTrue)
		plan, err = configuration.Expand(example("merrimack"), map[string]string{"startMilliseconds": "400"})
		So(err, ShouldBeNil)
		template, _ = plan.Template("merrimack", "dispatch")
		So(template.StartMilliseconds, ShouldEqual, 400)
		So(template.OneShot(), ShouldBeFalse)
	})
}

func TestBadDocumentsAreDeclinedWithTheirPlace(test *testing.T) {
	good := `halls: ["a"], services: s: versions: ["1"], parameters: p: int | *500
tenants: t: kinds: k: {service: "s", abandonMilliseconds: 3000, startMilliseconds: parameters.p}`
	bad := map[string][2]string{
		"not CUE":          {`halls: [`, "expected"},
		"unknown field":    {good + "\nhals: 1", "hals"},
		"unknown inside":   {good + "\ntenants: t: kindz: 1", "kindz"},
		"unknown deeper":   {good + "\ntenants: t: kinds: k: repeats: true", "repeats"},
		"bad rule":         {good + "\ntenants: t: kinds: k: match: \"engineHall < 3\"", "tenants.t.kinds.k: "},
		"rule of another":  {good + "\ntenants: t: kinds: k: repeatWhen: \"engineHall == hall\"", "engineHall"},
		"no halls":         {`services: {}`, "halls"},
		"unknown service":  {good + "\ntenants: t: kinds: x: {service: \"y\", abandonMilliseconds: 3000}", "tenants.t.kinds.x.service"},
		"unknown prefix":   {good + "\ntenants: t: kinds: k: prefix: \"book\"", "tenants.t.kinds.k.prefix"},
		"budget too large": {good + "\ntenants: t: kinds: k: mostTokens: 100000", "mostTokens"},
		"bad name":         {good + "\ntenants: \"T x\": kinds: {}", "T x"},
		"start past end":   {`halls: ["a"], services: s: versions: ["1"], parameters: {}, tenants: t: kinds: k: {service: "s", abandonMilliseconds: 300, startMilliseconds: 400}`, "startMilliseconds"},
	}
	Convey("a good document is taken", test, func() {
		_, err := configuration.Expand(good, nil)
		So(err, ShouldBeNil)
	})
	for name, each := range bad {
		Convey(name+" is declined", test, func() {
			_, err := configuration.Expand(each[0], nil)
			So(mishap.CodeOf(err, 0), ShouldEqual, mishap.ConfigurationInvalid)
			So(mishap.Text(err), ShouldContainSubstring, each[1])
		})
	}
	Convey("changes that don't fit are declined", test, func() {
		for path, value := range map[string]string{"p": `"text"`, "q": "1", "p.q": "1", "p[": "1"} {
			_, err := configuration.Expand(good, map[string]string{path: value})
			So(mishap.CodeOf(err, 0), ShouldEqual, mishap.ConfigurationInvalid)
		}
	})
}

// A whole configuration, a small change and an evacuation that all build on the
// same sequence, and one of them sent twice, in every order: one takes effect.
func TestOneOfARaceTakesEffectOnce(test *testing.T) {
	Convey("in every order", test, func() {
		document := example("asociacion")
		start := func() *configuration.State {
			state := configuration.NewState()
			view := state.View()
			operation, err := view.Draft(configuration.Request{Kind: configuration.Whole, Key: "first", Document: document})
			if err != nil {
				test.Fatal(err)
			}
			state.Apply(configuration.Encode(operation))
			return state
		}
		view := start().View()
		var drafts [][]byte
		for _, request := range []configuration.Request{
			{Kind: configuration.Whole, Key: "whole", Expected: 1, Document: document},
			{Kind: configuration.Small, Key: "small", Expected: 1, Changes: map[string]string{"startMilliseconds": "450"}},
			{Kind: configuration.Evacuate, Key: "hall", Expected: 1, Hall: "sur"},
			{Kind: configuration.Evacuate, Key: "hall", Expected: 1, Hall: "sur"},
		} {
			operation, err := view.Draft(request)
			So(err, ShouldBeNil)
			drafts = append(drafts, configuration.Encode(operation))
		}
		simulation.Orders(len(drafts), func(order []int) {
			state := start()
			won := map[string]bool{}
			for _, place := range order {
				var outcome configuration.Outcome
				if err := gob.NewDecoder(bytes.NewReader(state.Apply(drafts[place]))).Decode(&outcome); err != nil {
					test.Fatal(err)
				}
				if name := []string{"whole", "small", "hall", "hall"}[place]; outcome.Code == mishap.Fine {
					won[name] = true
				} else if outcome.Code != mishap.SequenceStale {
					test.Fatalf("order %v: %+v", order, outcome)
				}
			}
			now := state.View()
			if len(won) != 1 || now.Sequence != 2 || (len(now.Evacuated) == 1) != won["hall"] || (len(now.Changes) == 1) != won["small"] {
				test.Fatalf("order %v: won %v, in force %d %v %v", order, won, now.Sequence, now.Evacuated, now.Changes)
			}
		})
	})
	Convey("a document can be turned back to, as a new sequence, and evacuations stay", test, func() {
		state := configuration.NewState()
		step := func(request configuration.Request) configuration.Outcome {
			view := state.View()
			request.Expected, request.Key = view.Sequence, fmt.Sprint(view.Sequence, request.Kind)
			operation, err := view.Draft(request)
			So(err, ShouldBeNil)
			var outcome configuration.Outcome
			So(gob.NewDecoder(bytes.NewReader(state.Apply(configuration.Encode(operation)))).Decode(&outcome), ShouldBeNil)
			return outcome
		}
		So(step(configuration.Request{Kind: configuration.Back}).Code, ShouldEqual, mishap.UnknownOperation)
		So(step(configuration.Request{Kind: configuration.Whole, Document: example("asociacion")}).Sequence, ShouldEqual, 1)
		So(step(configuration.Request{Kind: configuration.Small, Changes: map[string]string{"startMilliseconds": "450"}}).Sequence, ShouldEqual, 2)
		So(step(configuration.Request{Kind: configuration.Evacuate, Hall: "sur"}).Sequence, ShouldEqual, 3)
		So(step(configuration.Request{Kind: configuration.Whole, Document: example("merrimack")}).Sequence, ShouldEqual, 4)
		So(state.View().Evacuated, ShouldBeEmpty)
		So(step(configuration.Request{Kind: configuration.Back}).Sequence, ShouldEqual, 5)
		now := state.View()
		template, err := now.Plan.Template("asociacion", "waiver")
		So(err, ShouldBeNil)
		So(template.StartMilliseconds, ShouldEqual, 450)
		So(step(configuration.Request{Kind: configuration.Back}).Sequence, ShouldEqual, 6)
		now = state.View()
		template, _ = now.Plan.Template("asociacion", "waiver")
		So(template.StartMilliseconds, ShouldEqual, 500)
		restored := configuration.NewState()
		restored.Restore(state.Snapshot())
		So(restored.View().Plan, ShouldResemble, now.Plan)
		So(restored.View().Sequence, ShouldEqual, 6)
	})
	Convey("an unknown hall is declined without effect", test, func() {
		view := configuration.NewState().View()
		_, err := view.Draft(configuration.Request{Kind: configuration.Evacuate, Key: "x", Hall: "nowhere"})
		So(mishap.CodeOf(err, 0), ShouldEqual, mishap.UnknownHall)
	})
}

func TestCostlyDocumentsAreDeclinedAtOnce(test *testing.T) {
	Convey("more fields in one struct than can be evaluated in time", test, func() {
		var document strings.Builder
		document.WriteString("services: s: prefixes: {\n")
		for number := range 26_000 {
			fmt.Fprintf(&document, "\"p%d\": tokens: 1\n", number)
		}
		document.WriteString("}\n")
		_, err := configuration.Expand(document.String(), nil)
		So(mishap.CodeOf(err, 0), ShouldEqual, mishap.ConfigurationCostly)
	})
}

// Two small changes, an evacuation and a document that is declined, all drafted on the
// sequence in force, are committed in every order; a change of leader between any two has
// the second of them sent again under its key. Exactly the first that builds on the
// sequence takes effect, the evacuation always does, and the declined never.
func TestEvacuationNeverLosesItsRace(test *testing.T) {
	Convey("in every order, sent again or not", test, func() {
		document := example("asociacion")
		plan, err := configuration.Expand(document, nil)
		So(err, ShouldBeNil)
		requests := []configuration.Request{
			{Kind: configuration.Small, Expected: 1, Changes: map[string]string{"startMilliseconds": "410"}},
			{Kind: configuration.Small, Expected: 1, Changes: map[string]string{"startMilliseconds": "420"}},
			{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"},
			{Kind: configuration.Whole, Expected: 1, Document: "halls: ["},
		}
		simulation.Orders(len(requests), func(order []int) {
			for again := range len(requests) {
				state := configuration.NewState()
				state.Apply(configuration.Encode(configuration.Operation{Request: configuration.Request{Kind: configuration.Whole, Key: "first", Document: document}, Plan: plan}))
				view := state.View()
				winners, effects := 0, 0
				for _, place := range order {
					request := requests[place]
					request.Key = fmt.Sprint(place)
					drafted, err := view.Draft(request)
					if err != nil {
						So(place, ShouldEqual, 3)
						continue
					}
					before := state.Number()
					state.Apply(configuration.Encode(drafted))
					if place == again {
						state.Apply(configuration.Encode(drafted))
					}
					outcome, known := state.Outcome(request.Key)
					So(known, ShouldBeTrue)
					if effects += int(state.Number() - before); outcome.Code == mishap.Fine {
						winners++
					}
					if place == 2 && outcome.Code != mishap.Fine {
						test.Fatalf("order %v: the evacuation got %d", order, outcome.Code)
					}
				}
				in := state.View()
				if first := order[0]; winners != effects || !in.Gone("sur") || first == 2 && in.Changes != nil {
					test.Fatalf("order %v: %d told as in force, %d in force, evacuated %v", order, winners, effects, in.Evacuated)
				}
			}
		})
	})
}
