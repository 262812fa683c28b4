package registry_test

import (
	"fmt"
	"reflect"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// newGroupAssignment returns an assignment of count prefill engines.
func newGroupAssignment(term uint64, count int) pairing.Assignment {
	var candidates []pairing.Candidate
	for number := range count {
		name := fmt.Sprintf("i-%08x", number)
		candidates = append(candidates, pairing.Candidate{Name: name, Role: pairing.RolePrefill, Version: "1"})
	}
	return pairing.AssignAffinityGroups("s", "owner", term, candidates)
}

// newAssignedState returns a state with an assignment of count engines.
func newAssignedState(term uint64, count int) *registry.State {
	state := registry.NewState()
	assignment := newGroupAssignment(term, count)
	assignment.Version = 1
	state.Apply(registry.Operation{Kind: registry.OperationAssign, Assignment: assignment}.Encode())
	return state
}

// applyCode applies an operation and returns its code.
func applyCode(t *testing.T, state *registry.State, operation []byte) errcode.Code {
	t.Helper()
	result, err := registry.DecodeResult(state.Apply(operation))
	if err != nil {
		t.Fatal(err)
	}
	return result.Code
}

func TestAssignmentChange_TakesEffectOnce(t *testing.T) {
	state := newAssignedState(5, 4)
	before := state.View
	change, _ := newGroupAssignment(5, 6).ChangeFrom(state.Assignments["s"])
	operation := registry.EncodeAssignmentChange(change)
	if code := applyCode(t, state, operation); code != errcode.OK || state.Revision != before.Revision+1 {
		t.Fatalf("first application: code %v, revision %d; want OK, revision %d", code, state.Revision, before.Revision+1)
	}
	if !state.Assignments["s"].Equal(newGroupAssignment(5, 6)) {
		t.Errorf("unexpected assignment %+v", state.Assignments["s"])
	}
	if len(before.Assignments["s"].Roles) != 4 {
		t.Error("the operation modified an earlier view")
	}
	after := state.View
	if code := applyCode(t, state, operation); code != errcode.RevisionStale || !reflect.DeepEqual(state.View, after) {
		t.Errorf("second application: code %v, revision %d; want RevisionStale, unchanged view", code, state.Revision)
	}
}

func TestAssignmentChange_Rejected(t *testing.T) {
	earlierState := newAssignedState(4, 4)
	earlierTermChange, _ := newGroupAssignment(4, 6).ChangeFrom(earlierState.Assignments["s"])
	otherBaseChange, _ := newGroupAssignment(6, 6).ChangeFrom(earlierState.Assignments["s"])
	for name, testCase := range map[string]struct {
		operation []byte
		code      errcode.Code
	}{
		"of an earlier term":    {registry.EncodeAssignmentChange(earlierTermChange), errcode.TermStale},
		"of another assignment": {registry.EncodeAssignmentChange(otherBaseChange), errcode.RevisionStale},
		"truncated":             {registry.EncodeAssignmentChange(otherBaseChange)[:20], errcode.MalformedMessage},
		"empty":                 {registry.EncodeAssignmentChange(otherBaseChange)[:1], errcode.MalformedMessage},
	} {
		state := newAssignedState(5, 4)
		before := state.View
		if code := applyCode(t, state, testCase.operation); code != testCase.code || !reflect.DeepEqual(state.View, before) {
			t.Errorf("change %s: code %v, want %v and an unchanged view", name, code, testCase.code)
		}
	}
}

// The size of an assignment change must not grow with the total number of engines: the log entry of
// one added engine must be as small with 3,000 engines as with 30.
func TestAssignmentChange_SizeOfTheDifference(t *testing.T) {
	const maxBytes = 600
	for _, count := range []int{30, 3000} {
		state := newAssignedState(5, count)
		change, _ := newGroupAssignment(5, count+1).ChangeFrom(state.Assignments["s"])
		if size := len(registry.EncodeAssignmentChange(change)); size > maxBytes {
			t.Errorf("a change with %d engines has %d bytes, want at most %d", count, size, maxBytes)
		}
	}
}
