package config_test

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

func readExample(name string) string {
	text, err := os.ReadFile("../../../examples/" + name + ".cue")
	So(err, ShouldBeNil)
	return string(text)
}

func TestExpand_Examples(t *testing.T) {
	Convey("both deployments' examples expand, and parameters reach the templates", t, func() {
		plan, err := config.Expand(readExample("asociacion"), nil)
		So(err, ShouldBeNil)
		template, err := plan.Template("asociacion", "waiver")
		So(err, ShouldBeNil)
		So(template.StartMilliseconds, ShouldEqual, 500)
		So(template.AbandonMilliseconds, ShouldEqual, 3000)
		So(template.OneShot(), ShouldBeTrue)
		plan, err = config.Expand(readExample("merrimack"), map[string]string{"startMilliseconds": "400"})
		So(err, ShouldBeNil)
		template, _ = plan.Template("merrimack", "dispatch")
		So(template.StartMilliseconds, ShouldEqual, 400)
		So(template.OneShot(), ShouldBeFalse)
	})
}

func TestExpand_InvalidDocumentNamesPath(t *testing.T) {
	validDocument := `halls: ["a"], services: s: versions: ["1"], parameters: p: int | *500
tenants: t: kinds: k: {service: "s", abandonMilliseconds: 3000, startMilliseconds: parameters.p}`
	testCases := map[string][2]string{
		"not CUE":          {`halls: [`, "expected"},
		"unknown field":    {validDocument + "\nhals: 1", "hals"},
		"unknown inside":   {validDocument + "\ntenants: t: kindz: 1", "kindz"},
		"unknown deeper":   {validDocument + "\ntenants: t: kinds: k: repeats: true", "repeats"},
		"bad rule":         {validDocument + "\ntenants: t: kinds: k: match: \"engineHall < 3\"", "tenants.t.kinds.k: "},
		"rule of another":  {validDocument + "\ntenants: t: kinds: k: repeatWhen: \"engineHall == hall\"", "engineHall"},
		"no halls":         {`services: {}`, "halls"},
		"unknown service":  {validDocument + "\ntenants: t: kinds: x: {service: \"y\", abandonMilliseconds: 3000}", "tenants.t.kinds.x.service"},
		"unknown prefix":   {validDocument + "\ntenants: t: kinds: k: prefix: \"book\"", "tenants.t.kinds.k.prefix"},
		"budget too large": {validDocument + "\ntenants: t: kinds: k: mostTokens: 100000", "mostTokens"},
		"bad name":         {validDocument + "\ntenants: \"T x\": kinds: {}", "T x"},
		"start past end":   {`halls: ["a"], services: s: versions: ["1"], parameters: {}, tenants: t: kinds: k: {service: "s", abandonMilliseconds: 300, startMilliseconds: 400}`, "startMilliseconds"},
	}
	Convey("a good document is taken", t, func() {
		_, err := config.Expand(validDocument, nil)
		So(err, ShouldBeNil)
	})
	for name, testCase := range testCases {
		Convey(name+" is declined", t, func() {
			_, err := config.Expand(testCase[0], nil)
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
			So(errcode.Text(err), ShouldContainSubstring, testCase[1])
		})
	}
	Convey("changes that don't fit are declined", t, func() {
		for path, value := range map[string]string{"p": `"text"`, "q": "1", "p.q": "1", "p[": "1"} {
			_, err := config.Expand(validDocument, map[string]string{path: value})
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
		}
	})
}

// A whole configuration, a small change and an evacuation that all build on the
// same sequence, and one of them sent twice, in every order: one takes effect.
func TestApply_ConcurrentOperationsTakeEffectOnce(t *testing.T) {
	Convey("in every order", t, func() {
		document := readExample("asociacion")
		start := func() *config.State {
			state := config.NewState()
			view := state.View()
			operation, err := view.Draft(config.Request{Kind: config.OperationApply, Key: "first", Document: document})
			if err != nil {
				t.Fatal(err)
			}
			state.Apply(config.Encode(operation))
			return state
		}
		view := start().View()
		var drafts [][]byte
		for _, request := range []config.Request{
			{Kind: config.OperationApply, Key: "whole", Expected: 1, Document: document},
			{Kind: config.OperationPatch, Key: "small", Expected: 1, Changes: map[string]string{"startMilliseconds": "450"}},
			{Kind: config.OperationEvacuate, Key: "hall", Expected: 1, Hall: "sur"},
			{Kind: config.OperationEvacuate, Key: "hall", Expected: 1, Hall: "sur"},
		} {
			operation, err := view.Draft(request)
			So(err, ShouldBeNil)
			drafts = append(drafts, config.Encode(operation))
		}
		simulation.Permutations(len(drafts), func(order []int) {
			state := start()
			won := map[string]bool{}
			for _, index := range order {
				var outcome config.Outcome
				if err := gob.NewDecoder(bytes.NewReader(state.Apply(drafts[index]))).Decode(&outcome); err != nil {
					t.Fatal(err)
				}
				if name := []string{"whole", "small", "hall", "hall"}[index]; outcome.Code == errcode.OK {
					won[name] = true
				} else if outcome.Code != errcode.RevisionStale {
					t.Fatalf("order %v: %+v", order, outcome)
				}
			}
			current := state.View()
			if len(won) != 1 || current.Sequence != 2 || (len(current.Evacuated) == 1) != won["hall"] || (len(current.Changes) == 1) != won["small"] {
				t.Fatalf("order %v: won %v, in force %d %v %v", order, won, current.Sequence, current.Evacuated, current.Changes)
			}
		})
	})
	Convey("a document can be turned back to, as a new sequence, and evacuations stay", t, func() {
		state := config.NewState()
		apply := func(request config.Request) config.Outcome {
			view := state.View()
			request.Expected, request.Key = view.Sequence, fmt.Sprint(view.Sequence, request.Kind)
			operation, err := view.Draft(request)
			So(err, ShouldBeNil)
			var outcome config.Outcome
			So(gob.NewDecoder(bytes.NewReader(state.Apply(config.Encode(operation)))).Decode(&outcome), ShouldBeNil)
			return outcome
		}
		So(apply(config.Request{Kind: config.OperationRollback}).Code, ShouldEqual, errcode.UnknownOperation)
		So(apply(config.Request{Kind: config.OperationApply, Document: readExample("asociacion")}).Sequence, ShouldEqual, 1)
		So(apply(config.Request{Kind: config.OperationPatch, Changes: map[string]string{"startMilliseconds": "450"}}).Sequence, ShouldEqual, 2)
		So(apply(config.Request{Kind: config.OperationEvacuate, Hall: "sur"}).Sequence, ShouldEqual, 3)
		So(apply(config.Request{Kind: config.OperationApply, Document: readExample("merrimack")}).Sequence, ShouldEqual, 4)
		So(state.View().Evacuated, ShouldBeEmpty)
		So(apply(config.Request{Kind: config.OperationRollback}).Sequence, ShouldEqual, 5)
		current := state.View()
		template, err := current.Plan.Template("asociacion", "waiver")
		So(err, ShouldBeNil)
		So(template.StartMilliseconds, ShouldEqual, 450)
		So(apply(config.Request{Kind: config.OperationRollback}).Sequence, ShouldEqual, 6)
		current = state.View()
		template, _ = current.Plan.Template("asociacion", "waiver")
		So(template.StartMilliseconds, ShouldEqual, 500)
		restored := config.NewState()
		restored.Restore(state.Snapshot())
		So(restored.View().Plan, ShouldResemble, current.Plan)
		So(restored.View().Sequence, ShouldEqual, 6)
	})
	Convey("an unknown hall is declined without effect", t, func() {
		view := config.NewState().View()
		_, err := view.Draft(config.Request{Kind: config.OperationEvacuate, Key: "x", Hall: "nowhere"})
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.UnknownZone)
	})
}

func TestExpand_CostlyDocumentIsRejected(t *testing.T) {
	Convey("more fields in one struct than can be evaluated in time", t, func() {
		var document strings.Builder
		document.WriteString("services: s: prefixes: {\n")
		for number := range 26_000 {
			fmt.Fprintf(&document, "\"p%d\": tokens: 1\n", number)
		}
		document.WriteString("}\n")
		_, err := config.Expand(document.String(), nil)
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationTooCostly)
	})
}

// Two small changes, an evacuation and a document that is declined, all drafted on the
// sequence in force, are committed in every order; a change of leader between any two has
// the second of them sent again under its key. Exactly the first that builds on the
// sequence takes effect, the evacuation always does, and the declined never.
func TestApply_EvacuationWinsAgainstConcurrentOperations(t *testing.T) {
	Convey("in every order, sent again or not", t, func() {
		document := readExample("asociacion")
		plan, err := config.Expand(document, nil)
		So(err, ShouldBeNil)
		requests := []config.Request{
			{Kind: config.OperationPatch, Expected: 1, Changes: map[string]string{"startMilliseconds": "410"}},
			{Kind: config.OperationPatch, Expected: 1, Changes: map[string]string{"startMilliseconds": "420"}},
			{Kind: config.OperationEvacuate, Whichever: true, Hall: "sur"},
			{Kind: config.OperationApply, Expected: 1, Document: "halls: ["},
		}
		simulation.Permutations(len(requests), func(order []int) {
			for repeatedIndex := range len(requests) {
				state := config.NewState()
				state.Apply(config.Encode(config.Operation{Request: config.Request{Kind: config.OperationApply, Key: "first", Document: document}, Plan: plan}))
				view := state.View()
				winners, effects := 0, 0
				for _, index := range order {
					request := requests[index]
					request.Key = fmt.Sprint(index)
					drafted, err := view.Draft(request)
					if err != nil {
						So(index, ShouldEqual, 3)
						continue
					}
					previous := state.Revision()
					state.Apply(config.Encode(drafted))
					if index == repeatedIndex {
						state.Apply(config.Encode(drafted))
					}
					outcome, known := state.Outcome(request.Key)
					So(known, ShouldBeTrue)
					if effects += int(state.Revision() - previous); outcome.Code == errcode.OK {
						winners++
					}
					if index == 2 && outcome.Code != errcode.OK {
						t.Fatalf("order %v: the evacuation got %d", order, outcome.Code)
					}
				}
				current := state.View()
				if first := order[0]; winners != effects || !current.IsEvacuated("sur") || first == 2 && current.Changes != nil {
					t.Fatalf("order %v: %d told as in force, %d in force, evacuated %v", order, winners, effects, current.Evacuated)
				}
			}
		})
	})
}
