package registry_test

import (
	"fmt"
	"reflect"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// groupAssignment returns an assignment of so many prefill engines.
func groupAssignment(term uint64, count int) pairing.Assignment {
	var candidates []pairing.Candidate
	for number := range count {
		name := fmt.Sprintf("i-%08x", number)
		candidates = append(candidates, pairing.Candidate{Name: name, Role: pairing.RolePrefill, Version: "1"})
	}
	return pairing.AssignAffinityGroups("s", "owner", term, candidates)
}

// assignedState returns a state with an assignment of so many engines.
func assignedState(term uint64, count int) *registry.State {
	state := registry.NewState()
	assignment := groupAssignment(term, count)
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
	state := assignedState(5, 4)
	before := state.View
	change, _ := groupAssignment(5, 6).ChangeFrom(state.Assignments["s"])
	operation := registry.EncodeAssignmentChange(change)
	if code := applyCode(t, state, operation); code != errcode.OK || state.Revision != before.Revision+1 {
		t.Fatalf("code %v at revision %d", code, state.Revision)
	}
	if !state.Assignments["s"].Equal(groupAssignment(5, 6)) {
		t.Errorf("the assignment is %+v", state.Assignments["s"])
	}
	if len(before.Assignments["s"].Roles) != 4 {
		t.Error("a view from before has changed")
	}
	after := state.View
	if code := applyCode(t, state, operation); code != errcode.RevisionStale || !reflect.DeepEqual(state.View, after) {
		t.Errorf("a second time: code %v, revision %d", code, state.Revision)
	}
}

func TestAssignmentChange_Rejected(t *testing.T) {
	earlier := assignedState(4, 4)
	ofEarlierTerm, _ := groupAssignment(4, 6).ChangeFrom(earlier.Assignments["s"])
	ofOtherBase, _ := groupAssignment(6, 6).ChangeFrom(earlier.Assignments["s"])
	for name, testCase := range map[string]struct {
		operation []byte
		code      errcode.Code
	}{
		"of an earlier term":    {registry.EncodeAssignmentChange(ofEarlierTerm), errcode.TermStale},
		"of another assignment": {registry.EncodeAssignmentChange(ofOtherBase), errcode.RevisionStale},
		"truncated":             {registry.EncodeAssignmentChange(ofOtherBase)[:20], errcode.MalformedMessage},
		"empty":                 {registry.EncodeAssignmentChange(ofOtherBase)[:1], errcode.MalformedMessage},
	} {
		state := assignedState(5, 4)
		before := state.View
		if code := applyCode(t, state, testCase.operation); code != testCase.code || !reflect.DeepEqual(state.View, before) {
			t.Errorf("a change %s: code %v, want %v", name, code, testCase.code)
		}
	}
}

// What is committed when one of many engines changes must not grow with their number.
func TestAssignmentChange_SizeOfTheDifference(t *testing.T) {
	const maxBytes = 600
	for _, count := range []int{30, 3000} {
		state := assignedState(5, count)
		change, _ := groupAssignment(5, count+1).ChangeFrom(state.Assignments["s"])
		if size := len(registry.EncodeAssignmentChange(change)); size > maxBytes {
			t.Errorf("%d bytes with %d engines", size, count)
		}
	}
}
