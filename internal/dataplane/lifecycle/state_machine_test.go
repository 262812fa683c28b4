package lifecycle_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/dataplane/lifecycle"
)

// Guards against an outcome that contradicts the recorded sends and proofs. The test walks all paths of up
// to 14 transitions. Each prefill counts as a send, and each return from prefilling to StateMatched as
// a proof that the attempt did not start.
func TestStateMachine_OutcomeMatchesEveryPath(t *testing.T) {
	paths, notRun := 0, 0
	var walk func(machine lifecycle.StateMachine, ran bool, depth int)
	walk = func(machine lifecycle.StateMachine, ran bool, depth int) {
		paths++
		switch outcome := machine.Outcome(); {
		case outcome == lifecycle.OutcomeNotRun && ran:
			t.Fatalf("a request that may have run is reported as not run: %+v", machine)
		case outcome == lifecycle.OutcomeNotRun:
			notRun++
		case outcome == lifecycle.OutcomeRun && machine.Attempted == 0:
			t.Fatalf("a request that was never sent is reported as run: %+v", machine)
		}
		if depth == 0 {
			return
		}
		for _, next := range lifecycle.Transitions[machine.State] {
			advanced := machine
			if err := advanced.Transition(next); err != nil {
				t.Fatal(err)
			}
			switch {
			case next == lifecycle.StatePrefilling:
				advanced.RecordSend()
				walk(advanced, ran, depth-1)
			case machine.State == lifecycle.StatePrefilling && next == lifecycle.StateMatched:
				advanced.RecordNotStarted()
				walk(advanced, ran, depth-1)
			case machine.State == lifecycle.StatePrefilling:
				walk(advanced, true, depth-1)
			default:
				walk(advanced, ran, depth-1)
			}
		}
	}
	walk(*lifecycle.NewStateMachine(), false, 14)
	Convey("enough paths were visited", t, func() {
		So(paths, ShouldBeGreaterThan, 1000)
		So(notRun, ShouldBeGreaterThan, 10)
	})
}

func TestTransitions_StreamingIsNotRetried(t *testing.T) {
	Convey("a streaming request only finishes or is truncated", t, func() {
		So(lifecycle.Transitions[lifecycle.StateStreaming], ShouldResemble, []lifecycle.State{lifecycle.StateFinished, lifecycle.StateTruncated})
		So(lifecycle.Transitions[lifecycle.StateFinished], ShouldBeEmpty)
		So(lifecycle.Transitions[lifecycle.StateTruncated], ShouldBeEmpty)
	})
}
