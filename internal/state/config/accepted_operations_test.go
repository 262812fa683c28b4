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

func applyOperation(t *testing.T, state *config.State, request config.Request) config.Outcome {
	var outcome config.Outcome
	operation := config.Encode(config.Operation{Request: request})
	if err := gob.NewDecoder(bytes.NewReader(state.Apply(operation))).Decode(&outcome); err != nil {
		t.Fatal(err)
	}
	return outcome
}

func restoreFromSnapshot(state *config.State) *config.State {
	restored := config.NewState()
	restored.Restore(state.Snapshot())
	return restored
}

// Two operators pick labels and bases at random, most of them wrong; in between the state
// travels as a snapshot. Whatever was accepted is acknowledged again at the end, and no
// label and no base was accepted twice.
func TestAcceptedOperations_RetriesAreAcknowledged(t *testing.T) {
	for seed, changes := range []int{200, 2000} {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		state := config.NewState()
		var accepted []config.Request
		labels, parentLabels := map[uint64]bool{}, map[uint64]bool{}
		for attempt := 0; len(accepted) < changes; attempt++ {
			current := state.Label
			request := replaceRoutesRequest(current+1+random.Uint64N(3), current-min(current, random.Uint64N(2)), fmt.Sprint("r", attempt%7))
			request.Routing.Digest = fmt.Sprint("attempt ", attempt)
			if attempt%3 > 0 {
				request.Key = fmt.Sprint("key ", attempt)
			}
			outcome := applyOperation(t, state, request)
			if outcome.Code != errcode.OK {
				continue
			}
			if labels[request.Routing.Label] || parentLabels[request.Routing.On] {
				t.Fatalf("seed %d: label %d or base %d was accepted twice", seed, request.Routing.Label, request.Routing.On)
			}
			labels[request.Routing.Label], parentLabels[request.Routing.On] = true, true
			accepted = append(accepted, request)
			if random.IntN(97) == 0 {
				state = restoreFromSnapshot(state)
			}
		}
		state = restoreFromSnapshot(state)
		previous := state.View()
		for _, request := range accepted {
			if request.Key != "" {
				if outcome, known := state.Outcome(request.Key); !known || outcome.Code != errcode.OK {
					t.Fatalf("seed %d: the outcome of %q is %v, %+v", seed, request.Key, known, outcome)
				}
			}
			request.Key = ""
			if outcome := applyOperation(t, state, request); outcome.Code != errcode.OK {
				t.Fatalf("seed %d: label %d, sent again: %+v", seed, request.Routing.Label, outcome)
			}
			other := *request.Routing
			other.Digest += " of another"
			request.Routing = &other
			if outcome := applyOperation(t, state, request); outcome.Code != errcode.RevisionStale {
				t.Fatalf("seed %d: label %d with other content: %+v", seed, other.Label, outcome)
			}
		}
		Convey(fmt.Sprintf("seed %d: sending them again changed nothing, and the snapshot is small", seed), t, func() {
			So(state.View(), ShouldResemble, previous)
			So(len(state.Snapshot()), ShouldBeLessThan, changes*2*32+40_000)
		})
	}
}

func TestRejections_DoNotEvictAcceptedOperations(t *testing.T) {
	Convey("an accepted key outlives thousands of refused ones, and those are bounded", t, func() {
		state := config.NewState()
		applyOperation(t, state, replaceRoutesRequest(3, 0, "a"))
		request := replaceRoutesRequest(5, 3, "b")
		request.Key = "accepted"
		So(applyOperation(t, state, request).Code, ShouldEqual, errcode.OK)
		size := 0
		for attempt := range 2000 {
			invalidRequest := replaceRoutesRequest(9, 1, "c")
			invalidRequest.Key = fmt.Sprint("refused ", attempt)
			if outcome := applyOperation(t, state, invalidRequest); outcome.Code != errcode.RevisionStale {
				t.Fatalf("%+v", outcome)
			}
			if attempt == 1000 {
				size = len(state.Snapshot())
			}
		}
		outcome, known := state.Outcome("accepted")
		So(known, ShouldBeTrue)
		So(outcome, ShouldResemble, config.Outcome{Sequence: 2})
		outcome, known = state.Outcome("refused 1999")
		So(known, ShouldBeTrue)
		So(outcome.Code, ShouldEqual, errcode.RevisionStale)
		So(len(state.Snapshot()), ShouldBeLessThan, size+1024)
	})
	Convey("what has no key leaves nothing but its label", t, func() {
		state := config.NewState()
		applyOperation(t, state, replaceRoutesRequest(3, 0, "a"))
		size := len(state.Snapshot())
		for range 100 {
			applyOperation(t, state, replaceRoutesRequest(9, 1, "c"))
			evacuation := config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: "sur"}
			So(applyOperation(t, state, evacuation).Code, ShouldEqual, errcode.OK)
			evacuation.Kind = config.OperationReturn
			So(applyOperation(t, state, evacuation).Code, ShouldEqual, errcode.OK)
			So(applyOperation(t, state, evacuation).Code, ShouldEqual, errcode.OK)
		}
		So(len(state.Snapshot()), ShouldBeLessThan, size+16)
	})
}

// legacySnapshot has the fields of snapshots before formats were counted.
type legacySnapshot struct {
	config.View
	Before   []config.Document
	Outcomes map[string]config.Outcome
	Order    []string
	Taken    map[uint64]string
	Labels   []uint64
}

func TestRestore_ReadsLegacySnapshot(t *testing.T) {
	Convey("with all that they remember", t, func() {
		first, second := replaceRoutesRequest(3, 0, "a"), replaceRoutesRequest(5, 3, "b")
		populated := config.NewState()
		applyOperation(t, populated, first)
		applyOperation(t, populated, second)
		rejected := config.Outcome{Code: errcode.RevisionStale, Sequence: 2, Text: "stale"}
		legacy := legacySnapshot{
			View:     populated.View(),
			Outcomes: map[string]config.Outcome{"one": {Sequence: 1}, "two": {Sequence: 2}, "no": rejected},
			Order:    []string{"one", "two", "no"},
			Taken:    map[uint64]string{3: first.Routing.Digest, 5: second.Routing.Digest},
			Labels:   []uint64{3, 5},
		}
		state := config.NewState()
		state.Restore(config.Encode(legacy))
		So(state.View(), ShouldResemble, populated.View())
		for pass := range 2 {
			So(applyOperation(t, state, first).Code, ShouldEqual, errcode.OK)
			So(applyOperation(t, state, second).Code, ShouldEqual, errcode.OK)
			So(applyOperation(t, state, replaceRoutesRequest(5, 3, "c")).Code, ShouldEqual, errcode.RevisionStale)
			outcome, known := state.Outcome("two")
			So(known, ShouldBeTrue)
			So(outcome, ShouldResemble, config.Outcome{Sequence: 2})
			outcome, known = state.Outcome("no")
			So(known, ShouldBeTrue)
			So(outcome, ShouldResemble, rejected)
			So(state.Revision(), ShouldEqual, 2)
			if pass == 0 {
				state = restoreFromSnapshot(state)
			}
		}
	})
}
