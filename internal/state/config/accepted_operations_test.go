package config_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// applyOperation applies a request without drafting it, and returns the outcome.
func applyOperation(t *testing.T, state *config.State, request config.Request) config.Outcome {
	t.Helper()
	operation := config.Operation{Request: request}.Encode()
	outcome, err := config.DecodeOutcome(state.Apply(operation))
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// restoreFromSnapshot returns a new state that is restored from a snapshot of the given one.
func restoreFromSnapshot(state *config.State) *config.State {
	restored := config.NewState()
	restored.Restore(state.Snapshot())
	return restored
}

// acceptRandomRequests applies requests with random labels and parent labels, most of which
// are stale, until count requests are accepted. Now and then it restores the state from a
// snapshot. It fails the test if a label or a parent label is accepted twice.
// It returns the state and the accepted requests.
func acceptRandomRequests(t *testing.T, seed, count int) (*config.State, []config.Request) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	state := config.NewState()
	var accepted []config.Request
	labels, parentLabels := map[uint64]bool{}, map[uint64]bool{}
	for attempt := 0; len(accepted) < count; attempt++ {
		current := state.Label
		label := current + 1 + random.Uint64N(3)
		parentLabel := current - min(current, random.Uint64N(2))
		request := replaceRoutesRequest(label, parentLabel, fmt.Sprint("r", attempt%7))
		request.Routing.Digest = fmt.Sprint("attempt ", attempt)
		if attempt%3 > 0 {
			request.Key = fmt.Sprint("key ", attempt)
		}
		outcome := applyOperation(t, state, request)
		if outcome.Code != errcode.OK {
			continue
		}
		if labels[label] || parentLabels[parentLabel] {
			t.Fatalf("seed %d: label %d or parent label %d was accepted twice", seed, label, parentLabel)
		}
		labels[label], parentLabels[parentLabel] = true, true
		accepted = append(accepted, request)
		if random.IntN(97) == 0 {
			state = restoreFromSnapshot(state)
		}
	}
	return restoreFromSnapshot(state), accepted
}

// requireAcknowledged checks that a retry of an accepted request is acknowledged, by its key
// and by its label, and that a request with the same label and another digest is rejected.
func requireAcknowledged(t *testing.T, seed int, state *config.State, request config.Request) {
	t.Helper()
	if request.Key != "" {
		outcome, known := state.Outcome(request.Key)
		if !known || outcome.Code != errcode.OK {
			t.Fatalf("seed %d: the outcome of key %q: known: %v, %+v", seed, request.Key, known, outcome)
		}
	}
	request.Key = ""
	if outcome := applyOperation(t, state, request); outcome.Code != errcode.OK {
		t.Fatalf("seed %d: retry of label %d: %+v", seed, request.Routing.Label, outcome)
	}
	other := *request.Routing
	other.Digest += " of another operator"
	request.Routing = &other
	if outcome := applyOperation(t, state, request); outcome.Code != errcode.RevisionStale {
		t.Fatalf("seed %d: label %d with another digest: %+v", seed, other.Label, outcome)
	}
}

func TestAcceptedOperations_RetriesAreAcknowledged(t *testing.T) {
	for seed, changes := range []int{200, 2000} {
		state, accepted := acceptRandomRequests(t, seed, changes)
		previous := state.View()
		for _, request := range accepted {
			requireAcknowledged(t, seed, state, request)
		}
		Convey(fmt.Sprintf("seed %d: the retries changed nothing, and the snapshot is small", seed), t, func() {
			So(state.View(), ShouldResemble, previous)
			So(len(state.Snapshot()), ShouldBeLessThan, changes*2*32+40_000)
		})
	}
}

func TestRejections_DoNotEvictAcceptedOperations(t *testing.T) {
	Convey("an accepted key is remembered after 2,000 rejected ones, whose number is bounded", t, func() {
		state := config.NewState()
		applyOperation(t, state, replaceRoutesRequest(3, 0, "a"))
		request := replaceRoutesRequest(5, 3, "b")
		request.Key = "accepted"
		So(applyOperation(t, state, request).Code, ShouldEqual, errcode.OK)
		size := 0
		for attempt := range 2000 {
			staleRequest := replaceRoutesRequest(9, 1, "c")
			staleRequest.Key = fmt.Sprint("rejected ", attempt)
			if outcome := applyOperation(t, state, staleRequest); outcome.Code != errcode.RevisionStale {
				t.Fatalf("rejection %d: %+v", attempt, outcome)
			}
			if attempt == 1000 {
				size = len(state.Snapshot())
			}
		}
		outcome, known := state.Outcome("accepted")
		So(known, ShouldBeTrue)
		So(outcome, ShouldResemble, config.Outcome{Revision: 2})
		outcome, known = state.Outcome("rejected 1999")
		So(known, ShouldBeTrue)
		So(outcome.Code, ShouldEqual, errcode.RevisionStale)
		So(len(state.Snapshot()), ShouldBeLessThan, size+1024)
	})
	Convey("an operation without a key adds nothing to the state but its label", t, func() {
		state := config.NewState()
		applyOperation(t, state, replaceRoutesRequest(3, 0, "a"))
		size := len(state.Snapshot())
		for range 100 {
			applyOperation(t, state, replaceRoutesRequest(9, 1, "c"))
			evacuation := config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: "sur"}
			So(applyOperation(t, state, evacuation).Code, ShouldEqual, errcode.OK)
			evacuation.Kind = config.OperationReturn
			So(applyOperation(t, state, evacuation).Code, ShouldEqual, errcode.OK)
			So(applyOperation(t, state, evacuation).Code, ShouldEqual, errcode.OK)
		}
		So(len(state.Snapshot()), ShouldBeLessThan, size+16)
	})
}

// legacySnapshot has the fields of a snapshot of version 0.
type legacySnapshot struct {
	View     config.ViewWire
	Before   []config.DocumentWire
	Outcomes map[string]config.OutcomeWire
	Order    []string
	Taken    map[uint64]string
	Labels   []uint64
}

func TestRestore_ReadsLegacySnapshot(t *testing.T) {
	Convey("with all operations that it remembers", t, func() {
		first, second := replaceRoutesRequest(3, 0, "a"), replaceRoutesRequest(5, 3, "b")
		populated := config.NewState()
		applyOperation(t, populated, first)
		applyOperation(t, populated, second)
		rejected := config.Outcome{Code: errcode.RevisionStale, Revision: 2, Text: "stale"}
		legacy := legacySnapshot{
			View:     populated.View().ToWire(),
			Outcomes: map[string]config.OutcomeWire{"one": {Sequence: 1}, "two": {Sequence: 2}, "no": rejected.ToWire()},
			Order:    []string{"one", "two", "no"},
			Taken:    map[uint64]string{3: first.Routing.Digest, 5: second.Routing.Digest},
			Labels:   []uint64{3, 5},
		}
		var encoded bytes.Buffer
		So(gob.NewEncoder(&encoded).Encode(legacy), ShouldBeNil)
		state := config.NewState()
		state.Restore(encoded.Bytes())
		So(state.View(), ShouldResemble, populated.View())
		for pass := range 2 {
			So(applyOperation(t, state, first).Code, ShouldEqual, errcode.OK)
			So(applyOperation(t, state, second).Code, ShouldEqual, errcode.OK)
			So(applyOperation(t, state, replaceRoutesRequest(5, 3, "c")).Code, ShouldEqual, errcode.RevisionStale)
			outcome, known := state.Outcome("two")
			So(known, ShouldBeTrue)
			So(outcome, ShouldResemble, config.Outcome{Revision: 2})
			outcome, known = state.Outcome("no")
			So(known, ShouldBeTrue)
			So(outcome, ShouldResemble, rejected)
			So(state.CurrentRevision(), ShouldEqual, 2)
			if pass == 0 {
				state = restoreFromSnapshot(state)
			}
		}
	})
}
