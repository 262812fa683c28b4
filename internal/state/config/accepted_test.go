package configuration_test

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

func decided(test *testing.T, state *configuration.State, request configuration.Request) configuration.Outcome {
	var outcome configuration.Outcome
	operation := configuration.Encode(configuration.Operation{Request: request})
	if err := gob.NewDecoder(bytes.NewReader(state.Apply(operation))).Decode(&outcome); err != nil {
		test.Fatal(err)
	}
	return outcome
}

func restored(state *configuration.State) *configuration.State {
	copied := configuration.NewState()
	copied.Restore(state.Snapshot())
	return copied
}

// Two operators pick labels and bases at random, most of them wrong; in between the state
// travels as a snapshot. Whatever was accepted is acknowledged again at the end, and no
// label and no base was accepted twice.
func TestAcceptedOrdersAreAcknowledgedHoweverLate(test *testing.T) {
	for seed, changes := range []int{200, 2000} {
		chance := rand.New(rand.NewPCG(uint64(seed), 1))
		state := configuration.NewState()
		var accepted []configuration.Request
		labels, bases := map[uint64]bool{}, map[uint64]bool{}
		for attempt := 0; len(accepted) < changes; attempt++ {
			present := state.Label
			request := whole(present+1+chance.Uint64N(3), present-min(present, chance.Uint64N(2)), fmt.Sprint("r", attempt%7))
			request.Routing.Digest = fmt.Sprint("attempt ", attempt)
			if attempt%3 > 0 {
				request.Key = fmt.Sprint("key ", attempt)
			}
			outcome := decided(test, state, request)
			if outcome.Code != mishap.Fine {
				continue
			}
			if labels[request.Routing.Label] || bases[request.Routing.On] {
				test.Fatalf("seed %d: label %d or base %d was accepted twice", seed, request.Routing.Label, request.Routing.On)
			}
			labels[request.Routing.Label], bases[request.Routing.On] = true, true
			accepted = append(accepted, request)
			if chance.IntN(97) == 0 {
				state = restored(state)
			}
		}
		state = restored(state)
		before := state.View()
		for _, request := range accepted {
			if request.Key != "" {
				if outcome, known := state.Outcome(request.Key); !known || outcome.Code != mishap.Fine {
					test.Fatalf("seed %d: the outcome of %q is %v, %+v", seed, request.Key, known, outcome)
				}
			}
			request.Key = ""
			if outcome := decided(test, state, request); outcome.Code != mishap.Fine {
				test.Fatalf("seed %d: label %d, sent again: %+v", seed, request.Routing.Label, outcome)
			}
			other := *request.Routing
			other.Digest += " of another"
			request.Routing = &other
			if outcome := decided(test, state, request); outcome.Code != mishap.SequenceStale {
				test.Fatalf("seed %d: label %d with other content: %+v", seed, other.Label, outcome)
			}
		}
		Convey(fmt.Sprintf("seed %d: sending them again changed nothing, and the snapshot is small", seed), test, func() {
			So(state.View(), ShouldResemble, before)
			So(len(state.Snapshot()), ShouldBeLessThan, changes*2*32+40_000)
		})
	}
}

func TestRefusalsPushNothingOut(test *testing.T) {
	Convey("an accepted key outlives thousands of refused ones, and those are bounded", test, func() {
		state := configuration.NewState()
		decided(test, state, whole(3, 0, "a"))
		request := whole(5, 3, "b")
		request.Key = "accepted"
		So(decided(test, state, request).Code, ShouldEqual, mishap.Fine)
		size := 0
		for attempt := range 2000 {
			wrong := whole(9, 1, "c")
			wrong.Key = fmt.Sprint("refused ", attempt)
			if outcome := decided(test, state, wrong); outcome.Code != mishap.SequenceStale {
				test.Fatalf("%+v", outcome)
			}
			if attempt == 1000 {
				size = len(state.Snapshot())
			}
		}
		outcome, known := state.Outcome("accepted")
		So(known, ShouldBeTrue)
		So(outcome, ShouldResemble, configuration.Outcome{Sequence: 2})
		outcome, known = state.Outcome("refused 1999")
		So(known, ShouldBeTrue)
		So(outcome.Code, ShouldEqual, mishap.SequenceStale)
		So(len(state.Snapshot()), ShouldBeLessThan, size+1024)
	})
	Convey("what has no key leaves nothing but its label", test, func() {
		state := configuration.NewState()
		decided(test, state, whole(3, 0, "a"))
		size := len(state.Snapshot())
		for range 100 {
			decided(test, state, whole(9, 1, "c"))
			evacuation := configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: "sur"}
			So(decided(test, state, evacuation).Code, ShouldEqual, mishap.Fine)
			evacuation.Kind = configuration.Return
			So(decided(test, state, evacuation).Code, ShouldEqual, mishap.Fine)
			So(decided(test, state, evacuation).Code, ShouldEqual, mishap.Fine)
		}
		So(len(state.Snapshot()), ShouldBeLessThan, size+16)
	})
}

// earlierSnapshot has the fields of snapshots before formats were counted.
type earlierSnapshot struct {
	configuration.View
	Before   []configuration.Document
	Outcomes map[string]configuration.Outcome
	Order    []string
	Taken    map[uint64]string
	Labels   []uint64
}

func TestSnapshotsOfTheEarlierBuildAreRead(test *testing.T) {
	Convey("with all that they remember", test, func() {
		first, second := whole(3, 0, "a"), whole(5, 3, "b")
		filled := configuration.NewState()
		decided(test, filled, first)
		decided(test, filled, second)
		refused := configuration.Outcome{Code: mishap.SequenceStale, Sequence: 2, Text: "stale"}
		earlier := earlierSnapshot{
			View:     filled.View(),
			Outcomes: map[string]configuration.Outcome{"one": {Sequence: 1}, "two": {Sequence: 2}, "no": refused},
			Order:    []string{"one", "two", "no"},
			Taken:    map[uint64]string{3: first.Routing.Digest, 5: second.Routing.Digest},
			Labels:   []uint64{3, 5},
		}
		state := configuration.NewState()
		state.Restore(configuration.Encode(earlier))
		So(state.View(), ShouldResemble, filled.View())
		for round := range 2 {
			So(decided(test, state, first).Code, ShouldEqual, mishap.Fine)
			So(decided(test, state, second).Code, ShouldEqual, mishap.Fine)
			So(decided(test, state, whole(5, 3, "c")).Code, ShouldEqual, mishap.SequenceStale)
			outcome, known := state.Outcome("two")
			So(known, ShouldBeTrue)
			So(outcome, ShouldResemble, configuration.Outcome{Sequence: 2})
			outcome, known = state.Outcome("no")
			So(known, ShouldBeTrue)
			So(outcome, ShouldResemble, refused)
			So(state.Number(), ShouldEqual, 2)
			if round == 0 {
				state = restored(state)
			}
		}
	})
}
