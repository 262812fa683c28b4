package config_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
)

// readExample returns the example document with this name.
func readExample(name string) string {
	text, err := os.ReadFile("../../../examples/" + name + ".cue")
	So(err, ShouldBeNil)
	return string(text)
}

func TestExpand_Examples(t *testing.T) {
	Convey("the example documents of both deployments expand, and templates get the parameters", t, func() {
		plan, err := config.Expand(readExample("asociacion"), nil)
		So(err, ShouldBeNil)
		template, err := plan.Template("asociacion", "waiver")
		So(err, ShouldBeNil)
		So(template.StartMilliseconds, ShouldEqual, 500)
		So(template.TotalMilliseconds, ShouldEqual, 3000)
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
		"not CUE":           {`halls: [`, "expected"},
		"unknown field":     {validDocument + "\nhals: 1", "hals"},
		"unknown inside":    {validDocument + "\ntenants: t: kindz: 1", "kindz"},
		"unknown deeper":    {validDocument + "\ntenants: t: kinds: k: repeats: true", "repeats"},
		"invalid rule":      {validDocument + "\ntenants: t: kinds: k: match: \"engineHall < 3\"", "tenants.t.kinds.k: "},
		"variable of match": {validDocument + "\ntenants: t: kinds: k: repeatWhen: \"engineHall == hall\"", "engineHall"},
		"no zones":          {`services: {}`, "halls"},
		"unknown service":   {validDocument + "\ntenants: t: kinds: x: {service: \"y\", abandonMilliseconds: 3000}", "tenants.t.kinds.x.service"},
		"unknown prefix":    {validDocument + "\ntenants: t: kinds: k: prefix: \"book\"", "tenants.t.kinds.k.prefix"},
		"too many tokens":   {validDocument + "\ntenants: t: kinds: k: mostTokens: 100000", "mostTokens"},
		"invalid name":      {validDocument + "\ntenants: \"T x\": kinds: {}", "T x"},
		"start after end": {`halls: ["a"], services: s: versions: ["1"], parameters: {}
tenants: t: kinds: k: {service: "s", abandonMilliseconds: 300, startMilliseconds: 400}`, "startMilliseconds"},
	}
	Convey("a valid document is accepted", t, func() {
		_, err := config.Expand(validDocument, nil)
		So(err, ShouldBeNil)
	})
	for name, testCase := range testCases {
		Convey(name+" is rejected", t, func() {
			_, err := config.Expand(testCase[0], nil)
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
			So(errcode.Text(err), ShouldContainSubstring, testCase[1])
		})
	}
	Convey("changes that don't fit the document are rejected", t, func() {
		for path, value := range map[string]string{"p": `"text"`, "q": "1", "p.q": "1", "p[": "1"} {
			_, err := config.Expand(validDocument, map[string]string{path: value})
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
		}
	})
}

// stateWithDocument returns a state at revision 1 with this document.
func stateWithDocument(t *testing.T, document string) *config.State {
	t.Helper()
	state := config.NewState()
	view := state.View()
	operation, err := view.Draft(config.Request{Kind: config.OperationApply, Key: "first", Document: document})
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(operation.Encode())
	return state
}

// applyDraft applies an encoded operation and reports whether it was accepted. It fails the test
// if the operation is neither accepted nor rejected as stale.
func applyDraft(t *testing.T, state *config.State, draft []byte) (accepted bool) {
	t.Helper()
	outcome, err := config.DecodeOutcome(state.Apply(draft))
	if err != nil {
		t.Fatal(err)
	}
	if outcome.Code != errcode.OK && outcome.Code != errcode.RevisionStale {
		t.Fatalf("neither accepted nor stale: %+v", outcome)
	}
	return outcome.Code == errcode.OK
}

// A document, a patch and an evacuation build on the same revision, and the evacuation is
// committed twice. In every order of the log, exactly one of the three takes effect, and it does
// so once.
func TestApply_ConcurrentOperationsTakeEffectOnce(t *testing.T) {
	Convey("in every order", t, func() {
		document := readExample("asociacion")
		view := stateWithDocument(t, document).View()
		var drafts [][]byte
		var keys []string
		for _, request := range []config.Request{
			{Kind: config.OperationApply, Key: "document", Expected: 1, Document: document},
			{Kind: config.OperationPatch, Key: "patch", Expected: 1, Changes: map[string]string{"startMilliseconds": "450"}},
			{Kind: config.OperationEvacuate, Key: "zone", Expected: 1, Zone: "sur"},
			{Kind: config.OperationEvacuate, Key: "zone", Expected: 1, Zone: "sur"},
		} {
			operation, err := view.Draft(request)
			So(err, ShouldBeNil)
			drafts = append(drafts, operation.Encode())
			keys = append(keys, request.Key)
		}
		simulation.Permutations(len(drafts), func(order []int) {
			state := stateWithDocument(t, document)
			accepted := map[string]bool{}
			for _, index := range order {
				if applyDraft(t, state, drafts[index]) {
					accepted[keys[index]] = true
				}
			}
			current := state.View()
			evacuated, patched := len(current.Evacuated) == 1, len(current.Changes) == 1
			if len(accepted) != 1 || current.Revision != 2 || evacuated != accepted["zone"] || patched != accepted["patch"] {
				t.Fatalf("order %v: accepted %v, revision %d, evacuated %v, changes %v",
					order, accepted, current.Revision, current.Evacuated, current.Changes)
			}
		})
	})
}

func TestApply_Rollback(t *testing.T) {
	Convey("a rollback creates a new revision and keeps evacuations", t, func() {
		state := config.NewState()
		apply := func(request config.Request) config.Outcome {
			view := state.View()
			request.Expected, request.Key = view.Revision, fmt.Sprint(view.Revision, request.Kind)
			operation, err := view.Draft(request)
			So(err, ShouldBeNil)
			outcome, err := config.DecodeOutcome(state.Apply(operation.Encode()))
			So(err, ShouldBeNil)
			return outcome
		}
		So(apply(config.Request{Kind: config.OperationRollback}).Code, ShouldEqual, errcode.UnknownOperation)
		So(apply(config.Request{Kind: config.OperationApply, Document: readExample("asociacion")}).Revision, ShouldEqual, 1)
		patch := config.Request{Kind: config.OperationPatch, Changes: map[string]string{"startMilliseconds": "450"}}
		So(apply(patch).Revision, ShouldEqual, 2)
		So(apply(config.Request{Kind: config.OperationEvacuate, Zone: "sur"}).Revision, ShouldEqual, 3)
		So(apply(config.Request{Kind: config.OperationApply, Document: readExample("merrimack")}).Revision, ShouldEqual, 4)
		So(state.View().Evacuated, ShouldBeEmpty)
		So(apply(config.Request{Kind: config.OperationRollback}).Revision, ShouldEqual, 5)
		current := state.View()
		template, err := current.Plan.Template("asociacion", "waiver")
		So(err, ShouldBeNil)
		So(template.StartMilliseconds, ShouldEqual, 450)
		So(apply(config.Request{Kind: config.OperationRollback}).Revision, ShouldEqual, 6)
		current = state.View()
		template, _ = current.Plan.Template("asociacion", "waiver")
		So(template.StartMilliseconds, ShouldEqual, 500)
		restored := config.NewState()
		restored.Restore(state.Snapshot())
		So(restored.View().Plan, ShouldResemble, current.Plan)
		So(restored.View().Revision, ShouldEqual, 6)
	})
}

func TestDraft_UnknownZoneIsRejected(t *testing.T) {
	Convey("an unknown zone is rejected without effect", t, func() {
		view := config.NewState().View()
		_, err := view.Draft(config.Request{Kind: config.OperationEvacuate, Key: "x", Zone: "nowhere"})
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.UnknownZone)
	})
}

func TestExpand_CostlyDocumentIsRejected(t *testing.T) {
	Convey("that has too many fields in one struct to be evaluated in time", t, func() {
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

const (
	// evacuationIndex and invalidIndex are indexes into concurrentRequests.
	evacuationIndex = 2
	invalidIndex    = 3
)

// concurrentRequests returns requests that are made at the same time on revision 1.
func concurrentRequests() []config.Request {
	return []config.Request{
		{Kind: config.OperationPatch, Expected: 1, Changes: map[string]string{"startMilliseconds": "410"}},
		{Kind: config.OperationPatch, Expected: 1, Changes: map[string]string{"startMilliseconds": "420"}},
		{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"},
		{Kind: config.OperationApply, Expected: 1, Document: "halls: ["},
	}
}

// applyInOrder drafts concurrentRequests on the state's current view and applies them in an order,
// one of them twice. It returns how many were acknowledged and how many revisions they created.
func applyInOrder(t *testing.T, state *config.State, order []int, retriedIndex int) (acknowledged, effects int) {
	t.Helper()
	view := state.View()
	requests := concurrentRequests()
	for _, index := range order {
		request := requests[index]
		request.Key = fmt.Sprint(index)
		drafted, err := view.Draft(request)
		if err != nil {
			So(index, ShouldEqual, invalidIndex)
			continue
		}
		previous := state.CurrentRevision()
		state.Apply(drafted.Encode())
		if index == retriedIndex {
			state.Apply(drafted.Encode())
		}
		outcome, known := state.Outcome(request.Key)
		So(known, ShouldBeTrue)
		effects += int(state.CurrentRevision() - previous)
		if outcome.Code == errcode.OK {
			acknowledged++
		}
		if index == evacuationIndex && outcome.Code != errcode.OK {
			t.Fatalf("order %v: the evacuation got code %d", order, outcome.Code)
		}
	}
	return acknowledged, effects
}

// Two patches, an evacuation and an invalid document are drafted on the same revision and
// committed in every order. One of them is committed twice with its key, as by a retry after a
// change of the leader. The evacuation must always take effect. A patch takes effect only if it is
// committed first, and the invalid document fails to draft.
func TestApply_EvacuationWinsAgainstConcurrentOperations(t *testing.T) {
	Convey("in every order, with each operation retried", t, func() {
		document := readExample("asociacion")
		plan, err := config.Expand(document, nil)
		So(err, ShouldBeNil)
		first := config.Request{Kind: config.OperationApply, Key: "first", Document: document}
		initial := config.Operation{Request: first, Plan: plan}.Encode()
		count := len(concurrentRequests())
		simulation.Permutations(count, func(order []int) {
			for retriedIndex := range count {
				state := config.NewState()
				state.Apply(initial)
				acknowledged, effects := applyInOrder(t, state, order, retriedIndex)
				current := state.View()
				stalePatchesRejected := order[0] != evacuationIndex || current.Changes == nil
				if acknowledged != effects || !current.IsEvacuated("sur") || !stalePatchesRejected {
					t.Fatalf("order %v: %d acknowledged, %d took effect, evacuated %v", order, acknowledged, effects, current.Evacuated)
				}
			}
		})
	})
}
